//! Messages between instances: signs of life, request counts, leadership, owners.
//!
//! Signs of life and counts travel as datagrams, any of which may be lost; all
//! are repeated. Ownership records travel as frames, since they outgrow a
//! datagram; one that is lost arrives through the store.

use crate::ids;
use crate::ownership::load;
use prost::Message;
use thiserror::Error;
use tokio_util::bytes::Bytes;

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Counts in one datagram, so that it stays below a usual packet.
pub const MAX_COUNTS: usize = 250;

/// What one instance tells another about one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GossipMessage {
    pub service: String,
    /// Run and name of the sender.
    pub run: ids::InstanceKey,
    pub name: String,
    pub content: GossipContent,
}

/// Content of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipContent {
    /// Sign of life of an instance.
    Report {
        /// Whether the sender acts as the service's leader.
        acting: bool,
        load: load::LoadReport,
    },
    /// Sign of life of the leader.
    Beacon {
        /// Revision at which the sender became the leader.
        revision: u64,
        /// Instances that report to it, itself included.
        instances: u32,
    },
    /// Ownership record that the store has accepted.
    Record {
        /// Revision of the stored record.
        revision: u64,
        /// Order among the announcements of one revision.
        step: u64,
        value: Bytes,
    },
}

/// A datagram that is no message.
#[derive(Debug, Error)]
pub enum GossipError {
    #[error("datagram cannot be decoded: {0}; run one version on all instances")]
    Syntax(#[from] prost::DecodeError),
    #[error("datagram has no content; run one version on all instances")]
    Empty,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireMessage {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(fixed64, tag = "2")]
    run: u64,
    #[prost(string, tag = "3")]
    name: String,
    #[prost(oneof = "WireContent", tags = "4, 5, 6")]
    content: Option<WireContent>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireContent {
    #[prost(message, tag = "4")]
    Report(WireReport),
    #[prost(message, tag = "5")]
    Beacon(WireBeacon),
    #[prost(message, tag = "6")]
    Record(WireRecord),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireReport {
    #[prost(bool, tag = "1")]
    acting: bool,
    #[prost(uint32, repeated, tag = "2")]
    buckets: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    counts: Vec<u32>,
    #[prost(fixed64, repeated, tag = "4")]
    owners: Vec<u64>,
    #[prost(uint32, repeated, tag = "5")]
    answers: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    sums_ms: Vec<u32>,
}

impl From<&load::LoadReport> for WireReport {
    fn from(report: &load::LoadReport) -> WireReport {
        let (counts, latencies) = (&report.counts, &report.latencies);
        WireReport {
            acting: false,
            buckets: counts.iter().map(|count| count.bucket).collect(),
            counts: counts.iter().map(|count| count.count).collect(),
            owners: latencies.iter().map(|latency| latency.owner.0).collect(),
            answers: latencies.iter().map(|latency| latency.answers).collect(),
            sums_ms: latencies.iter().map(|latency| latency.sum_ms).collect(),
        }
    }
}

impl From<WireReport> for load::LoadReport {
    fn from(wire: WireReport) -> load::LoadReport {
        let counts = wire.buckets.into_iter().zip(wire.counts);
        let answers = wire.answers.into_iter().zip(wire.sums_ms);
        let latencies = wire.owners.into_iter().zip(answers);
        load::LoadReport {
            counts: counts
                .map(|(bucket, count)| load::BucketCount { bucket, count })
                .collect(),
            latencies: latencies
                .map(|(owner, (answers, sum_ms))| load::OwnerLatency {
                    owner: ids::UpstreamKey(owner),
                    answers,
                    sum_ms,
                })
                .collect(),
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireBeacon {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint32, tag = "2")]
    instances: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRecord {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
    #[prost(uint64, tag = "3")]
    step: u64,
}

impl From<&GossipMessage> for WireMessage {
    fn from(message: &GossipMessage) -> WireMessage {
        let content = match &message.content {
            GossipContent::Report { acting, load } => WireContent::Report(WireReport {
                acting: *acting,
                ..WireReport::from(load)
            }),
            GossipContent::Beacon {
                revision,
                instances,
            } => WireContent::Beacon(WireBeacon {
                revision: *revision,
                instances: *instances,
            }),
            GossipContent::Record {
                revision,
                step,
                value,
            } => WireContent::Record(WireRecord {
                revision: *revision,
                step: *step,
                value: value.clone(),
            }),
        };
        WireMessage {
            service: message.service.clone(),
            run: message.run.0,
            name: message.name.clone(),
            content: Some(content),
        }
    }
}

impl TryFrom<WireMessage> for GossipMessage {
    type Error = GossipError;

    fn try_from(wire: WireMessage) -> Result<GossipMessage, GossipError> {
        let content = match wire.content.ok_or(GossipError::Empty)? {
            WireContent::Report(report) => GossipContent::Report {
                acting: report.acting,
                load: report.into(),
            },
            WireContent::Beacon(beacon) => GossipContent::Beacon {
                revision: beacon.revision,
                instances: beacon.instances,
            },
            WireContent::Record(record) => GossipContent::Record {
                revision: record.revision,
                step: record.step,
                value: record.value,
            },
        };
        Ok(GossipMessage {
            service: wire.service,
            run: ids::InstanceKey(wire.run),
            name: wire.name,
            content,
        })
    }
}

impl GossipMessage {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        WireMessage::from(self).encode_to_vec()
    }

    /// Decodes a datagram.
    pub fn decode(datagram: &[u8]) -> Result<GossipMessage, GossipError> {
        WireMessage::decode(datagram)?.try_into()
    }
}
