//! Wire format of the control messages between processes.
//!
//! Instances exchange length-delimited frames over TCP; instances and upstreams
//! exchange UDP datagrams. The content is Protocol Buffers in both cases.

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

/// Largest datagram between an instance and an upstream, in bytes.
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

/// Message between two instances, with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEnvelope {
    pub from: ids::InstanceKey,
    /// Address on which the sender accepts messages from instances.
    pub address: SocketAddr,
    pub message: instance::PeerMessage,
}

impl PeerEnvelope {
    /// Encodes the envelope as one frame.
    pub fn encode(&self) -> Vec<u8> {
        WirePeerMessage::from(self).encode_to_vec()
    }

    /// Decodes one frame.
    pub fn decode(bytes: &[u8]) -> Result<PeerEnvelope, WireError> {
        WirePeerMessage::decode(bytes)?.try_into()
    }
}

/// Message of an instance to an upstream, with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEnvelope {
    pub from: ids::InstanceKey,
    pub message: instance::UpstreamMessage,
}

impl UpstreamEnvelope {
    /// Encodes the envelope as one datagram.
    pub fn encode(&self) -> Vec<u8> {
        WireUpstreamMessage::from(self).encode_to_vec()
    }

    /// Decodes one datagram.
    pub fn decode(bytes: &[u8]) -> Result<UpstreamEnvelope, WireError> {
        WireUpstreamMessage::decode(bytes)?.try_into()
    }
}

/// Encodes a heartbeat as one datagram.
pub fn encode_heartbeat(heartbeat: &holder::Heartbeat) -> Vec<u8> {
    WireHeartbeat::from(heartbeat).encode_to_vec()
}

/// Decodes a heartbeat from one datagram.
pub fn decode_heartbeat(bytes: &[u8]) -> Result<holder::Heartbeat, WireError> {
    let wire = WireHeartbeat::decode(bytes)?;
    Ok(wire.into())
}

fn parse_address(text: &str) -> Result<SocketAddr, WireError> {
    text.parse()
        .map_err(|_| WireError::Address(text.to_owned()))
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

#[derive(Clone, Copy, Message, PartialEq)]
struct WireGeneration {
    #[prost(uint32, tag = "1")]
    term: u32,
    #[prost(uint32, tag = "2")]
    counter: u32,
}

impl From<grant::GrantGeneration> for WireGeneration {
    fn from(generation: grant::GrantGeneration) -> WireGeneration {
        WireGeneration {
            term: generation.term,
            counter: generation.counter,
        }
    }
}

impl From<WireGeneration> for grant::GrantGeneration {
    fn from(wire: WireGeneration) -> grant::GrantGeneration {
        grant::GrantGeneration {
            term: wire.term,
            counter: wire.counter,
        }
    }
}

#[derive(Clone, Message, PartialEq)]
struct WireGrantSet {
    #[prost(message, optional, tag = "1")]
    generation: Option<WireGeneration>,
    #[prost(fixed64, repeated, tag = "2")]
    renewers: Vec<u64>,
    /// First and last hash of each range, flattened.
    #[prost(fixed64, repeated, tag = "3")]
    bounds: Vec<u64>,
    #[prost(fixed64, tag = "4")]
    incarnation: u64,
}

impl From<&grant::GrantSet> for WireGrantSet {
    fn from(set: &grant::GrantSet) -> WireGrantSet {
        let bounds = set
            .ranges
            .iter()
            .flat_map(|range| [range.first, range.last]);
        WireGrantSet {
            generation: Some(set.generation.into()),
            renewers: set.renewers.iter().map(|key| key.0).collect(),
            bounds: bounds.collect(),
            incarnation: set.incarnation,
        }
    }
}

impl TryFrom<WireGrantSet> for grant::GrantSet {
    type Error = WireError;

    fn try_from(wire: WireGrantSet) -> Result<grant::GrantSet, WireError> {
        let generation = wire.generation.ok_or(WireError::Missing("generation"))?;
        let (bounds, remainder) = wire.bounds.as_chunks::<2>();
        if !remainder.is_empty() {
            return Err(WireError::Missing("last hash of a range"));
        }
        let ranges = bounds.iter().map(|[first, last]| range::KeyRange {
            first: *first,
            last: *last,
        });
        Ok(grant::GrantSet {
            generation: generation.into(),
            incarnation: wire.incarnation,
            renewers: wire.renewers.into_iter().map(ids::InstanceKey).collect(),
            ranges: ranges.collect(),
        })
    }
}

#[derive(Clone, Copy, Message, PartialEq)]
struct WireHeartbeat {
    #[prost(fixed64, tag = "1")]
    upstream: u64,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    seq: u64,
    #[prost(message, optional, tag = "4")]
    accepted: Option<WireGeneration>,
    #[prost(bool, tag = "5")]
    releasing: bool,
    #[prost(bool, tag = "6")]
    leaving: bool,
    #[prost(fixed64, optional, tag = "7")]
    missing_renewer: Option<u64>,
    #[prost(bool, tag = "8")]
    settled: bool,
}

impl From<&holder::Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &holder::Heartbeat) -> WireHeartbeat {
        WireHeartbeat {
            upstream: heartbeat.upstream.0,
            incarnation: heartbeat.incarnation,
            seq: heartbeat.seq,
            accepted: Some(heartbeat.accepted.into()),
            settled: heartbeat.settled,
            releasing: heartbeat.releasing,
            leaving: heartbeat.leaving,
            missing_renewer: heartbeat.missing_renewer.map(|key| key.0),
        }
    }
}

impl From<WireHeartbeat> for holder::Heartbeat {
    fn from(wire: WireHeartbeat) -> holder::Heartbeat {
        holder::Heartbeat {
            upstream: ids::UpstreamKey(wire.upstream),
            incarnation: wire.incarnation,
            seq: wire.seq,
            accepted: wire.accepted.unwrap_or_default().into(),
            settled: wire.settled,
            releasing: wire.releasing,
            leaving: wire.leaving,
            missing_renewer: wire.missing_renewer.map(ids::InstanceKey),
        }
    }
}

#[derive(Clone, Message, PartialEq)]
struct WireUpstreamMessage {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(oneof = "ServerContent", tags = "2, 3, 4")]
    content: Option<ServerContent>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum ServerContent {
    #[prost(fixed64, tag = "2")]
    Subscribe(u64),
    #[prost(message, tag = "3")]
    Grant(WireGrantOrder),
    #[prost(message, tag = "4")]
    Renew(WireRenewal),
}

#[derive(Clone, Message, PartialEq)]
struct WireGrantOrder {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(message, optional, tag = "2")]
    set: Option<WireGrantSet>,
}

#[derive(Clone, Copy, Message, PartialEq)]
struct WireRenewal {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(message, optional, tag = "2")]
    generation: Option<WireGeneration>,
}

impl From<&UpstreamEnvelope> for WireUpstreamMessage {
    fn from(envelope: &UpstreamEnvelope) -> WireUpstreamMessage {
        let content = match &envelope.message {
            instance::UpstreamMessage::Subscribe(upstream) => ServerContent::Subscribe(upstream.0),
            instance::UpstreamMessage::Grant(order) => ServerContent::Grant(WireGrantOrder {
                seq: order.seq,
                set: Some((&order.set).into()),
            }),
            instance::UpstreamMessage::Renew(renewal) => ServerContent::Renew(WireRenewal {
                seq: renewal.seq,
                generation: Some(renewal.generation.into()),
            }),
        };
        WireUpstreamMessage {
            from: envelope.from.0,
            content: Some(content),
        }
    }
}

impl TryFrom<WireUpstreamMessage> for UpstreamEnvelope {
    type Error = WireError;

    fn try_from(wire: WireUpstreamMessage) -> Result<UpstreamEnvelope, WireError> {
        let message = match wire.content.ok_or(WireError::Missing("content"))? {
            ServerContent::Subscribe(upstream) => {
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
            from: ids::InstanceKey(wire.from),
            message,
        })
    }
}

#[derive(Clone, Message, PartialEq)]
struct WirePeerMessage {
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
    Query(WireRouteQuery),
    #[prost(message, tag = "4")]
    Update(WireRouteUpdate),
    #[prost(message, tag = "5")]
    Order(WireRenewerOrder),
    #[prost(message, tag = "6")]
    Report(WireRenewerReport),
}

#[derive(Clone, Message, PartialEq)]
struct WirePeerInfo {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(string, tag = "4")]
    control: String,
}

impl From<&record::PeerInfo> for WirePeerInfo {
    fn from(info: &record::PeerInfo) -> WirePeerInfo {
        WirePeerInfo {
            key: info.key.0,
            id: info.id.clone(),
            zone: info.zone.clone(),
            control: info.control.to_string(),
        }
    }
}

impl TryFrom<WirePeerInfo> for record::PeerInfo {
    type Error = WireError;

    fn try_from(wire: WirePeerInfo) -> Result<record::PeerInfo, WireError> {
        Ok(record::PeerInfo {
            key: ids::InstanceKey(wire.key),
            control: parse_address(&wire.control)?,
            id: wire.id,
            zone: wire.zone,
        })
    }
}

#[derive(Clone, Message, PartialEq)]
struct WireRouteQuery {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(message, optional, tag = "2")]
    from: Option<WirePeerInfo>,
    #[prost(fixed64, tag = "3")]
    digest: u64,
    #[prost(uint32, tag = "4")]
    term: u32,
}

#[derive(Clone, Message, PartialEq)]
struct WireRouteUpdate {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "2")]
    term: u32,
    #[prost(message, optional, tag = "3")]
    controller: Option<WirePeerInfo>,
    #[prost(message, optional, tag = "4")]
    standby: Option<WirePeerInfo>,
    #[prost(bool, tag = "5")]
    leading: bool,
    #[prost(message, repeated, tag = "6")]
    entries: Vec<WireRouteEntry>,
    #[prost(uint32, tag = "7")]
    followers: u32,
}

#[derive(Clone, Copy, Message, PartialEq)]
struct WireRouteEntry {
    #[prost(fixed64, tag = "1")]
    first: u64,
    #[prost(fixed64, tag = "2")]
    last: u64,
    #[prost(fixed64, optional, tag = "3")]
    owner: Option<u64>,
    #[prost(message, optional, tag = "4")]
    version: Option<WireGeneration>,
}

impl From<&routes::RouteEntry> for WireRouteEntry {
    fn from(entry: &routes::RouteEntry) -> WireRouteEntry {
        WireRouteEntry {
            first: entry.range.first,
            last: entry.range.last,
            owner: entry.owner.map(|owner| owner.0),
            version: Some(entry.version.into()),
        }
    }
}

impl From<WireRouteEntry> for routes::RouteEntry {
    fn from(wire: WireRouteEntry) -> routes::RouteEntry {
        routes::RouteEntry {
            range: range::KeyRange {
                first: wire.first,
                last: wire.last,
            },
            owner: wire.owner.map(ids::UpstreamKey),
            version: wire.version.unwrap_or_default().into(),
        }
    }
}

#[derive(Clone, Message, PartialEq)]
struct WireRenewerOrder {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    upstream: u64,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(uint32, tag = "4")]
    term: u32,
    #[prost(message, optional, tag = "5")]
    set: Option<WireGrantSet>,
    #[prost(message, optional, tag = "6")]
    revoke: Option<WireGeneration>,
}

#[derive(Clone, Message, PartialEq)]
struct WireRenewerReport {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    upstream: u64,
    #[prost(uint32, tag = "3")]
    term: u32,
    #[prost(message, optional, tag = "4")]
    set: Option<WireGrantSet>,
    #[prost(message, optional, tag = "5")]
    revoked_up_to: Option<WireGeneration>,
    /// Rounded down, so that the expiry derived from it is never too early.
    #[prost(uint64, optional, tag = "6")]
    renewed_ago_ms: Option<u64>,
    #[prost(uint64, tag = "7")]
    silence_ms: u64,
    #[prost(message, optional, tag = "8")]
    heartbeat: Option<WireHeartbeatSummary>,
}

#[derive(Clone, Copy, Message, PartialEq)]
struct WireHeartbeatSummary {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(message, optional, tag = "2")]
    accepted: Option<WireGeneration>,
    #[prost(bool, tag = "3")]
    releasing: bool,
    #[prost(bool, tag = "4")]
    leaving: bool,
    #[prost(fixed64, optional, tag = "5")]
    missing_renewer: Option<u64>,
    #[prost(bool, tag = "6")]
    settled: bool,
}

impl From<&routes::RouteQuery> for WireRouteQuery {
    fn from(query: &routes::RouteQuery) -> WireRouteQuery {
        WireRouteQuery {
            service: query.service.0,
            from: Some((&query.from).into()),
            digest: query.digest,
            term: query.term,
        }
    }
}

impl TryFrom<WireRouteQuery> for routes::RouteQuery {
    type Error = WireError;

    fn try_from(wire: WireRouteQuery) -> Result<routes::RouteQuery, WireError> {
        Ok(routes::RouteQuery {
            service: ids::ServiceKey(wire.service),
            from: wire.from.ok_or(WireError::Missing("from"))?.try_into()?,
            digest: wire.digest,
            term: wire.term,
        })
    }
}

impl From<&routes::RouteUpdate> for WireRouteUpdate {
    fn from(update: &routes::RouteUpdate) -> WireRouteUpdate {
        WireRouteUpdate {
            service: update.service.0,
            term: update.term,
            controller: update.pair.as_ref().map(|pair| (&pair.controller).into()),
            standby: update
                .pair
                .as_ref()
                .and_then(|pair| pair.standby.as_ref())
                .map(WirePeerInfo::from),
            leading: update.leading,
            followers: update.followers,
            entries: update.entries.iter().map(WireRouteEntry::from).collect(),
        }
    }
}

impl TryFrom<WireRouteUpdate> for routes::RouteUpdate {
    type Error = WireError;

    fn try_from(wire: WireRouteUpdate) -> Result<routes::RouteUpdate, WireError> {
        let standby = wire.standby.map(record::PeerInfo::try_from).transpose()?;
        let controller = wire
            .controller
            .map(record::PeerInfo::try_from)
            .transpose()?;
        let pair = |controller| routes::ControllerPair {
            controller,
            standby,
        };
        Ok(routes::RouteUpdate {
            service: ids::ServiceKey(wire.service),
            term: wire.term,
            pair: controller.map(pair),
            leading: wire.leading,
            followers: wire.followers,
            entries: wire.entries.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<&renewer::RenewerOrder> for WireRenewerOrder {
    fn from(order: &renewer::RenewerOrder) -> WireRenewerOrder {
        WireRenewerOrder {
            service: order.service.0,
            upstream: order.upstream.0,
            address: order.address.to_string(),
            term: order.term,
            set: order.set.as_ref().map(WireGrantSet::from),
            revoke: order.revoke.map(WireGeneration::from),
        }
    }
}

impl TryFrom<WireRenewerOrder> for renewer::RenewerOrder {
    type Error = WireError;

    fn try_from(wire: WireRenewerOrder) -> Result<renewer::RenewerOrder, WireError> {
        Ok(renewer::RenewerOrder {
            service: ids::ServiceKey(wire.service),
            upstream: ids::UpstreamKey(wire.upstream),
            address: parse_address(&wire.address)?,
            term: wire.term,
            set: wire.set.map(grant::GrantSet::try_from).transpose()?,
            revoke: wire.revoke.map(Into::into),
        })
    }
}

impl From<&renewer::RenewerReport> for WireRenewerReport {
    fn from(report: &renewer::RenewerReport) -> WireRenewerReport {
        WireRenewerReport {
            service: report.service.0,
            upstream: report.upstream.0,
            term: report.term,
            set: Some((&report.set).into()),
            revoked_up_to: Some(report.revoked_up_to.into()),
            renewed_ago_ms: report.renewed_ago.map(millis),
            silence_ms: millis(report.silence),
            heartbeat: report.heartbeat.map(|heartbeat| WireHeartbeatSummary {
                incarnation: heartbeat.incarnation,
                accepted: Some(heartbeat.accepted.into()),
                settled: heartbeat.settled,
                releasing: heartbeat.releasing,
                leaving: heartbeat.leaving,
                missing_renewer: heartbeat.missing_renewer.map(|key| key.0),
            }),
        }
    }
}

impl TryFrom<WireRenewerReport> for renewer::RenewerReport {
    type Error = WireError;

    fn try_from(wire: WireRenewerReport) -> Result<renewer::RenewerReport, WireError> {
        let set = wire.set.ok_or(WireError::Missing("set"))?;
        let heartbeat = wire.heartbeat.map(|heartbeat| renewer::HeartbeatSummary {
            incarnation: heartbeat.incarnation,
            accepted: heartbeat.accepted.unwrap_or_default().into(),
            settled: heartbeat.settled,
            releasing: heartbeat.releasing,
            leaving: heartbeat.leaving,
            missing_renewer: heartbeat.missing_renewer.map(ids::InstanceKey),
        });
        Ok(renewer::RenewerReport {
            service: ids::ServiceKey(wire.service),
            upstream: ids::UpstreamKey(wire.upstream),
            term: wire.term,
            set: set.try_into()?,
            revoked_up_to: wire.revoked_up_to.unwrap_or_default().into(),
            renewed_ago: wire.renewed_ago_ms.map(Duration::from_millis),
            silence: Duration::from_millis(wire.silence_ms),
            heartbeat,
        })
    }
}

impl From<&PeerEnvelope> for WirePeerMessage {
    fn from(envelope: &PeerEnvelope) -> WirePeerMessage {
        let content = match &envelope.message {
            instance::PeerMessage::Query(query) => PeerContent::Query(query.into()),
            instance::PeerMessage::Update(update) => PeerContent::Update(update.into()),
            instance::PeerMessage::Order(order) => PeerContent::Order(order.into()),
            instance::PeerMessage::Report(report) => PeerContent::Report(report.into()),
        };
        WirePeerMessage {
            from: envelope.from.0,
            address: envelope.address.to_string(),
            content: Some(content),
        }
    }
}

impl TryFrom<WirePeerMessage> for PeerEnvelope {
    type Error = WireError;

    fn try_from(wire: WirePeerMessage) -> Result<PeerEnvelope, WireError> {
        let message = match wire.content.ok_or(WireError::Missing("content"))? {
            PeerContent::Query(query) => instance::PeerMessage::Query(query.try_into()?),
            PeerContent::Update(update) => instance::PeerMessage::Update(update.try_into()?),
            PeerContent::Order(order) => instance::PeerMessage::Order(order.try_into()?),
            PeerContent::Report(report) => instance::PeerMessage::Report(report.try_into()?),
        };
        Ok(PeerEnvelope {
            from: ids::InstanceKey(wire.from),
            address: parse_address(&wire.address)?,
            message,
        })
    }
}
