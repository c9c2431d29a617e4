//! Protobuf encoding of the messages between instances.

mod addresses;
mod crashes;
mod limits;

use crate::fleet::relay;
use crate::ids;
use crate::ownership::{load, patch, record};
use crate::store;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WireMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, tag = "2")]
    run: u64,
    #[prost(string, tag = "3")]
    name: String,
    #[prost(
        oneof = "WireContent",
        tags = "4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16"
    )]
    content: Option<WireContent>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireContent {
    #[prost(message, tag = "4")]
    Report(WireReport),
    #[prost(message, tag = "5")]
    Heartbeat(WireHeartbeat),
    #[prost(message, tag = "6")]
    Record(WireRecord),
    #[prost(message, tag = "7")]
    Patch(WirePatch),
    #[prost(message, tag = "8")]
    Changes(WireChanges),
    #[prost(message, tag = "9")]
    Members(limits::WireMembers),
    #[prost(message, tag = "10")]
    PermitAsk(limits::WireAsk),
    #[prost(message, tag = "11")]
    PermitAnswer(limits::WireAnswer),
    #[prost(message, tag = "12")]
    LimitNotice(limits::WireNotice),
    #[prost(message, tag = "13")]
    Forward(WireForward),
    #[prost(message, tag = "14")]
    ChangesAsk(WireVersion),
    #[prost(message, tag = "15")]
    Items(WireItems),
    #[prost(message, tag = "16")]
    Crashes(crashes::WireCrashes),
}

/// Buckets with their counts, and owners with their latencies, are parallel lists.
#[derive(Clone, PartialEq, prost::Message)]
struct WireReport {
    #[prost(bool, tag = "1")]
    leading: bool,
    #[prost(uint32, repeated, tag = "2")]
    buckets: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    counts: Vec<u32>,
    #[prost(fixed64, repeated, tag = "4")]
    owners: Vec<u64>,
    #[prost(uint32, repeated, tag = "5")]
    responses: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    sums_ms: Vec<u32>,
    #[prost(message, optional, tag = "7")]
    known: Option<WireVersion>,
    #[prost(message, optional, tag = "8")]
    members: Option<WireVersion>,
    #[prost(bool, tag = "9")]
    stopping: bool,
    #[prost(fixed64, repeated, tag = "10")]
    leaving: Vec<u64>,
}

/// Returns a duration in milliseconds, at most those that fit.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl From<&load::LoadReport> for WireReport {
    fn from(report: &load::LoadReport) -> WireReport {
        let (counts, latencies) = (&report.counts, &report.latencies);
        WireReport {
            leading: false,
            buckets: counts.iter().map(|count| count.bucket).collect(),
            counts: counts.iter().map(|count| count.count).collect(),
            owners: latencies.iter().map(|latency| latency.owner.0).collect(),
            responses: latencies.iter().map(|latency| latency.responses).collect(),
            sums_ms: latencies.iter().map(|latency| latency.sum_ms).collect(),
            known: None,
            members: None,
            stopping: false,
            leaving: Vec::new(),
        }
    }
}

impl From<WireReport> for load::LoadReport {
    fn from(wire: WireReport) -> load::LoadReport {
        let counts = wire.buckets.into_iter().zip(wire.counts);
        let responses = wire.responses.into_iter().zip(wire.sums_ms);
        let latencies = wire.owners.into_iter().zip(responses);
        load::LoadReport {
            counts: counts
                .map(|(bucket, count)| load::BucketCount { bucket, count })
                .collect(),
            latencies: latencies
                .map(|(owner, (responses, sum_ms))| load::OwnerLatency {
                    owner: ids::UpstreamKey(owner),
                    responses,
                    sum_ms,
                })
                .collect(),
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireHeartbeat {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint32, tag = "2")]
    instances: u32,
    #[prost(uint64, optional, tag = "3")]
    relayed: Option<u64>,
    #[prost(bool, tag = "4")]
    probe: bool,
    /// Era of `revision`.
    #[prost(uint64, tag = "5")]
    era: u64,
    /// Era of `relayed`.
    #[prost(uint64, tag = "6")]
    relayed_era: u64,
    /// Whether another instance reads the configuration for the receiver.
    #[prost(bool, tag = "7")]
    covered: bool,
    /// Instances for which the receiver does.
    #[prost(message, optional, tag = "8")]
    group: Option<addresses::WireAddresses>,
    /// Time for which the sender may miss changes after `relayed`.
    #[prost(uint32, tag = "9")]
    age_ms: u32,
}

impl WireHeartbeat {
    fn role(&self) -> Result<relay::GroupRole, super::MessageError> {
        Ok(match &self.group {
            Some(group) => relay::GroupRole::Head(group.clone().try_into()?),
            None if self.covered => relay::GroupRole::Covered,
            None => relay::GroupRole::Alone,
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireForward {
    #[prost(message, optional, tag = "1")]
    addresses: Option<addresses::WireAddresses>,
    #[prost(bytes = "bytes", tag = "2")]
    frame: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireItems {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(message, repeated, tag = "2")]
    items: Vec<WireChange>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct WireVersion {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint64, tag = "2")]
    sequence: u64,
    #[prost(uint64, tag = "3")]
    era: u64,
}

impl From<store::AnnouncedVersion> for WireVersion {
    fn from(version: store::AnnouncedVersion) -> WireVersion {
        WireVersion {
            revision: version.position.revision,
            sequence: version.sequence,
            era: version.position.era,
        }
    }
}

impl From<WireVersion> for store::AnnouncedVersion {
    fn from(wire: WireVersion) -> store::AnnouncedVersion {
        store::AnnouncedVersion {
            position: store::StorePosition {
                era: wire.era,
                revision: wire.revision,
            },
            sequence: wire.sequence,
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRecord {
    #[prost(message, optional, tag = "1")]
    version: Option<WireVersion>,
    #[prost(bytes = "vec", tag = "2")]
    value: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WirePatch {
    #[prost(message, optional, tag = "1")]
    base: Option<WireVersion>,
    #[prost(message, optional, tag = "2")]
    version: Option<WireVersion>,
    #[prost(bytes = "vec", tag = "3")]
    value: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireChange {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Absent if the item was deleted.
    #[prost(bytes = "bytes", optional, tag = "3")]
    value: Option<Bytes>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireChanges {
    #[prost(uint64, optional, tag = "1")]
    after: Option<u64>,
    #[prost(uint64, tag = "2")]
    as_of: u64,
    #[prost(message, repeated, tag = "3")]
    changes: Vec<WireChange>,
    /// Era of both revisions.
    #[prost(uint64, tag = "4")]
    era: u64,
    #[prost(uint32, tag = "5")]
    age_ms: u32,
}

impl From<&store::StoreChange> for WireChange {
    fn from(change: &store::StoreChange) -> WireChange {
        let value = match change {
            store::StoreChange::Put(item) => Some(item.value.clone()),
            store::StoreChange::Deleted { .. } => None,
        };
        WireChange {
            key: change.key().to_owned(),
            revision: change.revision(),
            value,
        }
    }
}

impl From<WireChange> for store::StoreChange {
    fn from(wire: WireChange) -> store::StoreChange {
        let (key, revision) = (wire.key, wire.revision);
        match wire.value {
            Some(value) => store::StoreChange::Put(store::StoredItem {
                key,
                value,
                revision,
            }),
            None => store::StoreChange::Deleted { key, revision },
        }
    }
}

impl From<&super::RelayedChanges> for WireChanges {
    fn from(relayed: &super::RelayedChanges) -> WireChanges {
        let changes = relayed.batch.changes.iter();
        WireChanges {
            after: relayed.after.map(|after| after.revision),
            as_of: relayed.batch.as_of.revision,
            era: relayed.batch.as_of.era,
            age_ms: millis(relayed.age),
            changes: changes.map(WireChange::from).collect(),
        }
    }
}

impl From<WireChanges> for super::RelayedChanges {
    fn from(wire: WireChanges) -> super::RelayedChanges {
        let changes = wire.changes.into_iter().map(store::StoreChange::from);
        let position = |revision| store::StorePosition {
            era: wire.era,
            revision,
        };
        super::RelayedChanges {
            after: wire.after.map(position),
            age: Duration::from_millis(wire.age_ms.into()),
            batch: store::ChangeBatch {
                changes: changes.collect(),
                as_of: position(wire.as_of),
            },
        }
    }
}

impl From<&super::MessageContent> for WireContent {
    fn from(content: &super::MessageContent) -> WireContent {
        match content {
            super::MessageContent::Report {
                leading,
                known,
                members,
                stopping,
                leaving,
                load,
            } => WireContent::Report(WireReport {
                leading: *leading,
                known: Some((*known).into()),
                members: members.map(WireVersion::from),
                stopping: *stopping,
                leaving: leaving.iter().map(|upstream| upstream.0).collect(),
                ..WireReport::from(load)
            }),
            super::MessageContent::Heartbeat {
                position,
                instances,
                relayed,
                age,
                role,
                probe,
            } => WireContent::Heartbeat(WireHeartbeat {
                age_ms: millis(*age),
                revision: position.revision,
                instances: *instances,
                relayed: relayed.map(|relayed| relayed.revision),
                probe: *probe,
                era: position.era,
                relayed_era: relayed.unwrap_or_default().era,
                covered: *role == relay::GroupRole::Covered,
                group: match role {
                    relay::GroupRole::Head(others) => Some((&others[..]).into()),
                    relay::GroupRole::Alone | relay::GroupRole::Covered => None,
                },
            }),
            super::MessageContent::Record { version, record } => WireContent::Record(WireRecord {
                version: Some((*version).into()),
                value: record.encode(),
            }),
            super::MessageContent::Patch {
                base,
                version,
                patch,
            } => WireContent::Patch(WirePatch {
                base: Some((*base).into()),
                version: Some((*version).into()),
                value: patch.encode(),
            }),
            super::MessageContent::Changes(relayed) => WireContent::Changes(relayed.into()),
            super::MessageContent::Forward { addresses, frame } => {
                WireContent::Forward(WireForward {
                    addresses: Some((&addresses[..]).into()),
                    frame: frame.clone(),
                })
            }
            super::MessageContent::ChangesAsk { after } => WireContent::ChangesAsk(WireVersion {
                revision: after.revision,
                sequence: 0,
                era: after.era,
            }),
            super::MessageContent::Items { era, items } => {
                let item = |item: &store::StoredItem| WireChange {
                    key: item.key.clone(),
                    revision: item.revision,
                    value: Some(item.value.clone()),
                };
                WireContent::Items(WireItems {
                    era: *era,
                    items: items.iter().map(item).collect(),
                })
            }
            super::MessageContent::Crashes(records) => WireContent::Crashes((&records[..]).into()),
            super::MessageContent::Members(list) => WireContent::Members((&**list).into()),
            super::MessageContent::PermitAsk(ask) => WireContent::PermitAsk(ask.into()),
            super::MessageContent::PermitAnswer(answer) => WireContent::PermitAnswer(answer.into()),
            super::MessageContent::LimitNotice(notice) => WireContent::LimitNotice(notice.into()),
        }
    }
}

impl TryFrom<WireContent> for super::MessageContent {
    type Error = super::MessageError;

    fn try_from(wire: WireContent) -> Result<super::MessageContent, super::MessageError> {
        Ok(match wire {
            WireContent::Report(report) => super::MessageContent::Report {
                leading: report.leading,
                known: report.known.unwrap_or_default().into(),
                members: report.members.map(store::AnnouncedVersion::from),
                stopping: report.stopping,
                leaving: report
                    .leaving
                    .iter()
                    .take(super::MAX_REPORT_DEPARTURES)
                    .map(|upstream| ids::UpstreamKey(*upstream))
                    .collect(),
                load: report.into(),
            },
            WireContent::Heartbeat(heartbeat) => super::MessageContent::Heartbeat {
                role: heartbeat.role()?,
                position: store::StorePosition {
                    era: heartbeat.era,
                    revision: heartbeat.revision,
                },
                instances: heartbeat.instances,
                relayed: heartbeat.relayed.map(|revision| store::StorePosition {
                    era: heartbeat.relayed_era,
                    revision,
                }),
                age: Duration::from_millis(heartbeat.age_ms.into()),
                probe: heartbeat.probe,
            },
            WireContent::Record(wire) => super::MessageContent::Record {
                version: wire.version.unwrap_or_default().into(),
                record: Arc::new(record::OwnershipRecord::decode(&wire.value)?),
            },
            WireContent::Patch(wire) => super::MessageContent::Patch {
                base: wire.base.unwrap_or_default().into(),
                version: wire.version.unwrap_or_default().into(),
                patch: Box::new(patch::RecordPatch::decode(&wire.value)?),
            },
            WireContent::Changes(changes) => super::MessageContent::Changes(changes.into()),
            WireContent::Forward(forward) => super::MessageContent::Forward {
                addresses: forward.addresses.unwrap_or_default().try_into()?,
                frame: forward.frame,
            },
            WireContent::ChangesAsk(version) => super::MessageContent::ChangesAsk {
                after: store::AnnouncedVersion::from(version).position,
            },
            WireContent::Items(wire) => {
                let changes = wire.items.into_iter().map(store::StoreChange::from);
                super::MessageContent::Items {
                    era: wire.era,
                    items: changes.filter_map(store::StoreChange::into_item).collect(),
                }
            }
            WireContent::Crashes(wire) => super::MessageContent::Crashes(wire.into()),
            WireContent::Members(list) => {
                super::MessageContent::Members(Arc::new(list.try_into()?))
            }
            WireContent::PermitAsk(ask) => super::MessageContent::PermitAsk(ask.into()),
            WireContent::PermitAnswer(answer) => super::MessageContent::PermitAnswer(answer.into()),
            WireContent::LimitNotice(notice) => super::MessageContent::LimitNotice(notice.into()),
        })
    }
}

impl From<&super::PeerMessage> for WireMessage {
    fn from(message: &super::PeerMessage) -> WireMessage {
        WireMessage {
            service: message.service.clone(),
            run: message.run.0,
            name: message.name.clone(),
            content: Some(WireContent::from(&message.content)),
        }
    }
}

impl TryFrom<WireMessage> for super::PeerMessage {
    type Error = super::MessageError;

    fn try_from(wire: WireMessage) -> Result<super::PeerMessage, super::MessageError> {
        let content = wire.content.ok_or(super::MessageError::Empty)?;
        Ok(super::PeerMessage {
            service: wire.service,
            run: ids::InstanceKey(wire.run),
            name: wire.name,
            content: content.try_into()?,
        })
    }
}
