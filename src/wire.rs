//! Wire forms of the messages between processes.
//!
//! Instances talk over TCP in length-delimited frames, instances and servers in
//! UDP datagrams; the content is Protocol Buffers in both cases.

use crate::grant;
use crate::holder;
use crate::ids;
use crate::instance;
use crate::range;
use crate::record;
use crate::renewer;
use crate::routes;
use prost::Message;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Largest frame between instances, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Largest datagram between an instance and a server, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A message that does not follow the protocol.
#[derive(Debug, Error)]
pub enum WireError {
    #[error("message is not valid Protocol Buffers: {0}; run the same version on both ends")]
    Syntax(#[from] prost::DecodeError),
    #[error("message lacks field \"{0}\"; run the same version on both ends")]
    Missing(&'static str),
    #[error("address \"{0}\" is not IP:PORT; correct the sender's settings")]
    Address(String),
}

/// Message of an instance to another, with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEnvelope {
    pub from: ids::InstanceKey,
    /// Address at which the sender takes messages.
    pub address: SocketAddr,
    pub message: instance::PeerMessage,
}

impl PeerEnvelope {
    /// Encodes the envelope as one frame.
    pub fn encode(&self) -> Vec<u8> {
        PeerFrame::from(self).encode_to_vec()
    }

    /// Decodes one frame.
    pub fn decode(bytes: &[u8]) -> Result<PeerEnvelope, WireError> {
        PeerFrame::decode(bytes)?.try_into()
    }
}

/// Message of an instance to a server, with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEnvelope {
    pub from: ids::InstanceKey,
    pub message: instance::UpstreamMessage,
}

impl UpstreamEnvelope {
    /// Encodes the envelope as one datagram.
    pub fn encode(&self) -> Vec<u8> {
        ServerFrame::from(self).encode_to_vec()
    }

    /// Decodes one datagram.
    pub fn decode(bytes: &[u8]) -> Result<UpstreamEnvelope, WireError> {
        ServerFrame::decode(bytes)?.try_into()
    }
}

/// Encodes a heartbeat as one datagram.
pub fn encode_heartbeat(heartbeat: &holder::Heartbeat) -> Vec<u8> {
    HeartbeatFrame::from(heartbeat).encode_to_vec()
}

/// Decodes a heartbeat from one datagram.
pub fn decode_heartbeat(bytes: &[u8]) -> Result<holder::Heartbeat, WireError> {
    let frame = HeartbeatFrame::decode(bytes)?;
    Ok(frame.into())
}

fn address_of(text: &str) -> Result<SocketAddr, WireError> {
    text.parse()
        .map_err(|_| WireError::Address(text.to_owned()))
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

#[derive(Clone, Copy, Message, PartialEq)]
struct GenerationFrame {
    #[prost(uint32, tag = "1")]
    term: u32,
    #[prost(uint32, tag = "2")]
    counter: u32,
}

impl From<grant::GrantGeneration> for GenerationFrame {
    fn from(generation: grant::GrantGeneration) -> GenerationFrame {
        GenerationFrame {
            term: generation.term,
            counter: generation.counter,
        }
    }
}

impl From<GenerationFrame> for grant::GrantGeneration {
    fn from(frame: GenerationFrame) -> grant::GrantGeneration {
        grant::GrantGeneration {
            term: frame.term,
            counter: frame.counter,
        }
    }
}

#[derive(Clone, Message, PartialEq)]
struct SetFrame {
    #[prost(message, optional, tag = "1")]
    generation: Option<GenerationFrame>,
    #[prost(fixed64, repeated, tag = "2")]
    keepers: Vec<u64>,
    /// First and last hash of each range in turn.
    #[prost(fixed64, repeated, tag = "3")]
    bounds: Vec<u64>,
    #[prost(fixed64, tag = "4")]
    incarnation: u64,
}

impl From<&grant::GrantSet> for SetFrame {
    fn from(set: &grant::GrantSet) -> SetFrame {
        let bounds = set
            .ranges
            .iter()
            .flat_map(|range| [range.first, range.last]);
        SetFrame {
            generation: Some(set.generation.into()),
            keepers: set.renewers.iter().map(|key| key.0).collect(),
            bounds: bounds.collect(),
            incarnation: set.incarnation,
        }
    }
}

impl TryFrom<SetFrame> for grant::GrantSet {
    type Error = WireError;

    fn try_from(frame: SetFrame) -> Result<grant::GrantSet, WireError> {
        let generation = frame.generation.ok_or(WireError::Missing("generation"))?;
        let (bounds, odd) = frame.bounds.as_chunks::<2>();
        if !odd.is_empty() {
            return Err(WireError::Missing("last hash of a range"));
        }
        let ranges = bounds.iter().map(|[first, last]| range::KeyRange {
            first: *first,
            last: *last,
        });
        Ok(grant::GrantSet {
            generation: generation.into(),
            incarnation: frame.incarnation,
            renewers: frame.keepers.into_iter().map(ids::InstanceKey).collect(),
            ranges: ranges.collect(),
        })
    }
}

#[derive(Clone, Copy, Message, PartialEq)]
struct HeartbeatFrame {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    seq: u64,
    #[prost(message, optional, tag = "4")]
    accepted: Option<GenerationFrame>,
    #[prost(bool, tag = "5")]
    releasing: bool,
    #[prost(bool, tag = "6")]
    leaving: bool,
    #[prost(fixed64, optional, tag = "7")]
    missing: Option<u64>,
    #[prost(bool, tag = "8")]
    settled: bool,
}

impl From<&holder::Heartbeat> for HeartbeatFrame {
    fn from(heartbeat: &holder::Heartbeat) -> HeartbeatFrame {
        HeartbeatFrame {
            upstream: heartbeat.upstream.0,
            incarnation: heartbeat.incarnation,
            seq: heartbeat.seq,
            accepted: Some(heartbeat.accepted.into()),
            settled: heartbeat.settled,
            releasing: heartbeat.releasing,
            leaving: heartbeat.leaving,
            missing: heartbeat.missing_renewer.map(|key| key.0),
        }
    }
}

impl From<HeartbeatFrame> for holder::Heartbeat {
    fn from(frame: HeartbeatFrame) -> holder::Heartbeat {
        holder::Heartbeat {
            upstream: ids::UpstreamKey(frame.upstream),
            incarnation: frame.incarnation,
            seq: frame.seq,
            accepted: frame.accepted.unwrap_or_default().into(),
            settled: frame.settled,
            releasing: frame.releasing,
            leaving: frame.leaving,
            missing_renewer: frame.missing.map(ids::InstanceKey),
        }
    }
}

#[derive(Clone, Message, PartialEq)]
struct ServerFrame {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(oneof = "ServerContent", tags = "2, 3, 4")]
    content: Option<ServerContent>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum ServerContent {
    #[prost(fixed64, tag = "2")]
    Attach(u64),
    #[prost(message, tag = "3")]
    Grant(GrantFrame),
    #[prost(message, tag = "4")]
    Renew(RenewalFrame),
}

#[derive(Clone, Message, PartialEq)]
struct GrantFrame {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(message, optional, tag = "2")]
    set: Option<SetFrame>,
}

#[derive(Clone, Copy, Message, PartialEq)]
struct RenewalFrame {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(message, optional, tag = "2")]
    generation: Option<GenerationFrame>,
}

impl From<&UpstreamEnvelope> for ServerFrame {
    fn from(envelope: &UpstreamEnvelope) -> ServerFrame {
        let content = match &envelope.message {
            instance::UpstreamMessage::Subscribe(upstream) => ServerContent::Attach(upstream.0),
            instance::UpstreamMessage::Grant(order) => ServerContent::Grant(GrantFrame {
                seq: order.seq,
                set: Some((&order.set).into()),
            }),
            instance::UpstreamMessage::Renew(renewal) => ServerContent::Renew(RenewalFrame {
                seq: renewal.seq,
                generation: Some(renewal.generation.into()),
            }),
        };
        ServerFrame {
            from: envelope.from.0,
            content: Some(content),
        }
    }
}

impl TryFrom<ServerFrame> for UpstreamEnvelope {
    type Error = WireError;

    fn try_from(frame: ServerFrame) -> Result<UpstreamEnvelope, WireError> {
        let message = match frame.content.ok_or(WireError::Missing("content"))? {
            ServerContent::Attach(upstream) => {
                instance::UpstreamMessage::Subscribe(ids::UpstreamKey(upstream))
            }
            ServerContent::Grant(grant) => instance::UpstreamMessage::Grant(holder::GrantOrder {
                seq: grant.seq,
                set: grant.set.ok_or(WireError::Missing("set"))?.try_into()?,
            }),
            ServerContent::Renew(renewal) => {
                let generation = renewal.generation.ok_or(WireError::Missing("generation"))?;
                instance::UpstreamMessage::Renew(holder::Renewal {
                    seq: renewal.seq,
                    generation: generation.into(),
                })
            }
        };
        Ok(UpstreamEnvelope {
            from: ids::InstanceKey(frame.from),
            message,
        })
    }
}

#[derive(Clone, Message, PartialEq)]
struct PeerFrame {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(oneof = "PeerContent", tags = "3, 4, 5, 6")]
    content: Option<PeerContent>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum PeerContent {
    #[prost(message, tag = "3")]
    Query(QueryFrame),
    #[prost(message, tag = "4")]
    Update(UpdateFrame),
    #[prost(message, tag = "5")]
    Order(OrderFrame),
    #[prost(message, tag = "6")]
    Report(ReportFrame),
}

#[derive(Clone, Message, PartialEq)]
struct InfoFrame {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(string, tag = "4")]
    control: String,
}

impl From<&record::PeerInfo> for InfoFrame {
    fn from(info: &record::PeerInfo) -> InfoFrame {
        InfoFrame {
            key: info.key.0,
            id: info.id.clone(),
            zone: info.zone.clone(),
            control: info.control.to_string(),
        }
    }
}

impl TryFrom<InfoFrame> for record::PeerInfo {
    type Error = WireError;

    fn try_from(frame: InfoFrame) -> Result<record::PeerInfo, WireError> {
        Ok(record::PeerInfo {
            key: ids::InstanceKey(frame.key),
            control: address_of(&frame.control)?,
            id: frame.id,
            zone: frame.zone,
        })
    }
}

#[derive(Clone, Message, PartialEq)]
struct QueryFrame {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(message, optional, tag = "2")]
    from: Option<InfoFrame>,
    #[prost(fixed64, tag = "3")]
    digest: u64,
    #[prost(uint32, tag = "4")]
    term: u32,
}

#[derive(Clone, Message, PartialEq)]
struct UpdateFrame {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    term: u32,
    #[prost(message, optional, tag = "3")]
    controller: Option<InfoFrame>,
    #[prost(message, optional, tag = "4")]
    standby: Option<InfoFrame>,
    #[prost(bool, tag = "5")]
    leading: bool,
    #[prost(message, repeated, tag = "6")]
    entries: Vec<RouteFrame>,
    #[prost(uint32, tag = "7")]
    followers: u32,
}

#[derive(Clone, Copy, Message, PartialEq)]
struct RouteFrame {
    #[prost(fixed64, tag = "1")]
    first: u64,
    #[prost(fixed64, tag = "2")]
    last: u64,
    #[prost(fixed64, optional, tag = "3")]
    owner: Option<u64>,
    #[prost(message, optional, tag = "4")]
    version: Option<GenerationFrame>,
}

impl From<&routes::RouteEntry> for RouteFrame {
    fn from(entry: &routes::RouteEntry) -> RouteFrame {
        RouteFrame {
            first: entry.range.first,
            last: entry.range.last,
            owner: entry.owner.map(|owner| owner.0),
            version: Some(entry.version.into()),
        }
    }
}

impl From<RouteFrame> for routes::RouteEntry {
    fn from(frame: RouteFrame) -> routes::RouteEntry {
        routes::RouteEntry {
            range: range::KeyRange {
                first: frame.first,
                last: frame.last,
            },
            owner: frame.owner.map(ids::UpstreamKey),
            version: frame.version.unwrap_or_default().into(),
        }
    }
}

#[derive(Clone, Message, PartialEq)]
struct OrderFrame {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    upstream: u64,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(uint32, tag = "4")]
    term: u32,
    #[prost(message, optional, tag = "5")]
    set: Option<SetFrame>,
    #[prost(message, optional, tag = "6")]
    seal: Option<GenerationFrame>,
}

#[derive(Clone, Message, PartialEq)]
struct ReportFrame {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    upstream: u64,
    #[prost(uint32, tag = "3")]
    term: u32,
    #[prost(message, optional, tag = "4")]
    set: Option<SetFrame>,
    #[prost(message, optional, tag = "5")]
    sealed_to: Option<GenerationFrame>,
    /// Milliseconds, rounded down so that the expiry is never too early.
    #[prost(uint64, optional, tag = "6")]
    renewed_ago_ms: Option<u64>,
    /// Milliseconds.
    #[prost(uint64, tag = "7")]
    silence_ms: u64,
    #[prost(message, optional, tag = "8")]
    server: Option<ServerViewFrame>,
}

#[derive(Clone, Copy, Message, PartialEq)]
struct ServerViewFrame {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(message, optional, tag = "2")]
    accepted: Option<GenerationFrame>,
    #[prost(bool, tag = "3")]
    releasing: bool,
    #[prost(bool, tag = "4")]
    leaving: bool,
    #[prost(fixed64, optional, tag = "5")]
    missing: Option<u64>,
    #[prost(bool, tag = "6")]
    settled: bool,
}

impl From<&routes::RouteQuery> for QueryFrame {
    fn from(query: &routes::RouteQuery) -> QueryFrame {
        QueryFrame {
            service: query.service.0,
            from: Some((&query.from).into()),
            digest: query.digest,
            term: query.term,
        }
    }
}

impl TryFrom<QueryFrame> for routes::RouteQuery {
    type Error = WireError;

    fn try_from(frame: QueryFrame) -> Result<routes::RouteQuery, WireError> {
        Ok(routes::RouteQuery {
            service: ids::ServiceKey(frame.service),
            from: frame.from.ok_or(WireError::Missing("from"))?.try_into()?,
            digest: frame.digest,
            term: frame.term,
        })
    }
}

impl From<&routes::RouteUpdate> for UpdateFrame {
    fn from(update: &routes::RouteUpdate) -> UpdateFrame {
        UpdateFrame {
            service: update.service.0,
            term: update.term,
            controller: update.pair.as_ref().map(|pair| (&pair.controller).into()),
            standby: update
                .pair
                .as_ref()
                .and_then(|pair| pair.standby.as_ref())
                .map(InfoFrame::from),
            leading: update.leading,
            followers: update.followers,
            entries: update.entries.iter().map(RouteFrame::from).collect(),
        }
    }
}

impl TryFrom<UpdateFrame> for routes::RouteUpdate {
    type Error = WireError;

    fn try_from(frame: UpdateFrame) -> Result<routes::RouteUpdate, WireError> {
        let standby = frame.standby.map(record::PeerInfo::try_from).transpose()?;
        let controller = frame
            .controller
            .map(record::PeerInfo::try_from)
            .transpose()?;
        let pair = |controller| routes::ControllerPair {
            controller,
            standby,
        };
        Ok(routes::RouteUpdate {
            service: ids::ServiceKey(frame.service),
            term: frame.term,
            pair: controller.map(pair),
            leading: frame.leading,
            followers: frame.followers,
            entries: frame.entries.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&renewer::RenewerOrder> for OrderFrame {
    fn from(order: &renewer::RenewerOrder) -> OrderFrame {
        OrderFrame {
            service: order.service.0,
            upstream: order.upstream.0,
            address: order.address.to_string(),
            term: order.term,
            set: order.set.as_ref().map(SetFrame::from),
            seal: order.revoke.map(GenerationFrame::from),
        }
    }
}

impl TryFrom<OrderFrame> for renewer::RenewerOrder {
    type Error = WireError;

    fn try_from(frame: OrderFrame) -> Result<renewer::RenewerOrder, WireError> {
        Ok(renewer::RenewerOrder {
            service: ids::ServiceKey(frame.service),
            upstream: ids::UpstreamKey(frame.upstream),
            address: address_of(&frame.address)?,
            term: frame.term,
            set: frame.set.map(grant::GrantSet::try_from).transpose()?,
            revoke: frame.seal.map(Into::into),
        })
    }
}

impl From<&renewer::RenewerReport> for ReportFrame {
    fn from(report: &renewer::RenewerReport) -> ReportFrame {
        ReportFrame {
            service: report.service.0,
            upstream: report.upstream.0,
            term: report.term,
            set: Some((&report.set).into()),
            sealed_to: Some(report.revoked_up_to.into()),
            renewed_ago_ms: report.renewed_ago.map(millis),
            silence_ms: millis(report.silence),
            server: report.heartbeat.map(|server| ServerViewFrame {
                incarnation: server.incarnation,
                accepted: Some(server.accepted.into()),
                settled: server.settled,
                releasing: server.releasing,
                leaving: server.leaving,
                missing: server.missing_renewer.map(|key| key.0),
            }),
        }
    }
}

impl TryFrom<ReportFrame> for renewer::RenewerReport {
    type Error = WireError;

    fn try_from(frame: ReportFrame) -> Result<renewer::RenewerReport, WireError> {
        let set = frame.set.ok_or(WireError::Missing("set"))?;
        let server = frame.server.map(|server| renewer::HeartbeatSummary {
            incarnation: server.incarnation,
            accepted: server.accepted.unwrap_or_default().into(),
            settled: server.settled,
            releasing: server.releasing,
            leaving: server.leaving,
            missing_renewer: server.missing.map(ids::InstanceKey),
        });
        Ok(renewer::RenewerReport {
            service: ids::ServiceKey(frame.service),
            upstream: ids::UpstreamKey(frame.upstream),
            term: frame.term,
            set: set.try_into()?,
            revoked_up_to: frame.sealed_to.unwrap_or_default().into(),
            renewed_ago: frame.renewed_ago_ms.map(Duration::from_millis),
            silence: Duration::from_millis(frame.silence_ms),
            heartbeat: server,
        })
    }
}

impl From<&PeerEnvelope> for PeerFrame {
    fn from(envelope: &PeerEnvelope) -> PeerFrame {
        let content = match &envelope.message {
            instance::PeerMessage::Query(query) => PeerContent::Query(query.into()),
            instance::PeerMessage::Update(update) => PeerContent::Update(update.into()),
            instance::PeerMessage::Order(order) => PeerContent::Order(order.into()),
            instance::PeerMessage::Report(report) => PeerContent::Report(report.into()),
        };
        PeerFrame {
            from: envelope.from.0,
            address: envelope.address.to_string(),
            content: Some(content),
        }
    }
}

impl TryFrom<PeerFrame> for PeerEnvelope {
    type Error = WireError;

    fn try_from(frame: PeerFrame) -> Result<PeerEnvelope, WireError> {
        let message = match frame.content.ok_or(WireError::Missing("content"))? {
            PeerContent::Query(query) => instance::PeerMessage::Query(query.try_into()?),
            PeerContent::Update(update) => instance::PeerMessage::Update(update.try_into()?),
            PeerContent::Order(order) => instance::PeerMessage::Order(order.try_into()?),
            PeerContent::Report(report) => instance::PeerMessage::Report(report.try_into()?),
        };
        Ok(PeerEnvelope {
            from: ids::InstanceKey(frame.from),
            address: address_of(&frame.address)?,
            message,
        })
    }
}
