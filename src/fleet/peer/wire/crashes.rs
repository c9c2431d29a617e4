//! Protobuf encoding of what instances know of requests that crash their upstreams.

use crate::notices::crashes;

/// Most requests that are read from one message.
const MAX_RECORDS: usize = crashes::MAX_SHARED;

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::fleet::peer) struct WireCrashes {
    #[prost(message, repeated, tag = "1")]
    records: Vec<WireCrash>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireCrash {
    #[prost(fixed64, tag = "1")]
    request: u64,
    #[prost(fixed64, repeated, tag = "2")]
    ended: Vec<u64>,
    /// Those of `ended` that an answer has cleared.
    #[prost(fixed64, repeated, tag = "3")]
    cleared: Vec<u64>,
}

impl From<&crashes::CrashRecord> for WireCrash {
    fn from(record: &crashes::CrashRecord) -> WireCrash {
        let marks = |ends: &crashes::EndList| ends.iter().map(|end| end.0).collect();
        WireCrash {
            request: record.request.0,
            ended: marks(&record.ended),
            cleared: marks(&record.cleared),
        }
    }
}

impl From<WireCrash> for crashes::CrashRecord {
    fn from(wire: WireCrash) -> crashes::CrashRecord {
        let ends = |marks: Vec<u64>| marks.into_iter().map(crashes::EndMark).collect();
        crashes::CrashRecord {
            request: crashes::RequestFingerprint(wire.request),
            ended: ends(wire.ended),
            cleared: ends(wire.cleared),
        }
    }
}

impl From<&[crashes::CrashRecord]> for WireCrashes {
    fn from(records: &[crashes::CrashRecord]) -> WireCrashes {
        WireCrashes {
            records: records.iter().map(WireCrash::from).collect(),
        }
    }
}

impl From<WireCrashes> for Vec<crashes::CrashRecord> {
    fn from(wire: WireCrashes) -> Vec<crashes::CrashRecord> {
        let records = wire.records.into_iter().take(MAX_RECORDS);
        records.map(crashes::CrashRecord::from).collect()
    }
}
