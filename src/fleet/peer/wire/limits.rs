//! Protobuf encoding of the messages about limits that upstreams state.

use crate::fleet::peer;
use crate::fleet::peer::wire::addresses;
use crate::ids;
use crate::limits::{self, allocator, members};
use std::time::Duration;

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet::peer) struct WireMembers {
    #[prost(message, optional, tag = "1")]
    version: Option<super::WireVersion>,
    #[prost(bytes = "vec", tag = "2")]
    v4: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    v6: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet::peer) struct WireAsk {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    /// Thousandths of a request per second; absent if the upstream states no limit.
    #[prost(uint64, optional, tag = "2")]
    rate: Option<u64>,
    #[prost(uint64, tag = "3")]
    age_us: u64,
    #[prost(uint32, tag = "4")]
    count: u32,
    #[prost(uint64, tag = "5")]
    max_wait_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet::peer) struct WireAnswer {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    /// Thousandths of a request per second; absent if the upstream states no limit.
    #[prost(uint64, optional, tag = "2")]
    rate: Option<u64>,
    #[prost(uint64, tag = "3")]
    age_us: u64,
    #[prost(uint64, repeated, tag = "4")]
    delays_us: Vec<u64>,
    #[prost(uint64, tag = "5")]
    next_due_us: u64,
    #[prost(uint64, tag = "6")]
    retry_after_us: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet::peer) struct WireNotice {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    /// Thousandths of a request per second; absent if the upstream states no limit.
    #[prost(uint64, optional, tag = "2")]
    rate: Option<u64>,
    #[prost(uint64, tag = "3")]
    age_us: u64,
}

fn statement(rate: Option<u64>) -> limits::LimitStatement {
    rate.map(limits::RequestRate::from_thousandths).into()
}

fn rate(statement: limits::LimitStatement) -> Option<u64> {
    statement.rate().map(limits::RequestRate::thousandths)
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

impl From<&members::MemberList> for WireMembers {
    fn from(list: &members::MemberList) -> WireMembers {
        let addresses = addresses::WireAddresses::from(&list.addresses[..]);
        WireMembers {
            version: Some(list.version.into()),
            v4: addresses.v4,
            v6: addresses.v6,
        }
    }
}

impl TryFrom<WireMembers> for members::MemberList {
    type Error = peer::MessageError;

    fn try_from(wire: WireMembers) -> Result<members::MemberList, peer::MessageError> {
        let addresses = addresses::WireAddresses {
            v4: wire.v4,
            v6: wire.v6,
        };
        Ok(members::MemberList {
            version: wire.version.unwrap_or_default().into(),
            addresses: addresses.try_into()?,
        })
    }
}

impl From<&allocator::PermitAsk> for WireAsk {
    fn from(ask: &allocator::PermitAsk) -> WireAsk {
        WireAsk {
            upstream: ask.upstream.0,
            rate: rate(ask.statement),
            age_us: micros(ask.age),
            count: ask.count,
            max_wait_us: micros(ask.max_wait),
        }
    }
}

impl From<WireAsk> for allocator::PermitAsk {
    fn from(wire: WireAsk) -> allocator::PermitAsk {
        allocator::PermitAsk {
            upstream: ids::UpstreamKey(wire.upstream),
            statement: statement(wire.rate),
            age: Duration::from_micros(wire.age_us),
            count: wire.count,
            max_wait: Duration::from_micros(wire.max_wait_us),
        }
    }
}

impl From<&allocator::PermitAnswer> for WireAnswer {
    fn from(answer: &allocator::PermitAnswer) -> WireAnswer {
        WireAnswer {
            upstream: answer.upstream.0,
            rate: rate(answer.statement),
            age_us: micros(answer.age),
            delays_us: answer.delays.iter().map(|delay| micros(*delay)).collect(),
            next_due_us: micros(answer.next_due),
            retry_after_us: micros(answer.retry_after),
        }
    }
}

impl From<WireAnswer> for allocator::PermitAnswer {
    fn from(wire: WireAnswer) -> allocator::PermitAnswer {
        let delays = wire.delays_us.into_iter();
        allocator::PermitAnswer {
            upstream: ids::UpstreamKey(wire.upstream),
            statement: statement(wire.rate),
            age: Duration::from_micros(wire.age_us),
            delays: delays.map(Duration::from_micros).collect(),
            next_due: Duration::from_micros(wire.next_due_us),
            retry_after: Duration::from_micros(wire.retry_after_us),
        }
    }
}

impl From<&allocator::LimitNotice> for WireNotice {
    fn from(notice: &allocator::LimitNotice) -> WireNotice {
        WireNotice {
            upstream: notice.upstream.0,
            rate: rate(notice.statement),
            age_us: micros(notice.age),
        }
    }
}

impl From<WireNotice> for allocator::LimitNotice {
    fn from(wire: WireNotice) -> allocator::LimitNotice {
        allocator::LimitNotice {
            upstream: ids::UpstreamKey(wire.upstream),
            statement: statement(wire.rate),
            age: Duration::from_micros(wire.age_us),
        }
    }
}
