//! What a leader of a large deployment sends to the instances that follow it.

use godwitloom::fleet::followers::{RecordHistory, RecordUpdate, RecordVersion};
use godwitloom::fleet::peer::{MessageContent, PeerMessage};
use godwitloom::ids;
use godwitloom::ownership::record;
use godwitloom::range;
use godwitloom::store::{AnnouncedVersion, StorePosition};
use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

const INSTANCES: usize = 195;
const RANGES: u64 = 280;

/// Link of the smallest machines, in bytes per second: 20 Mbit/s.
const LINK_BYTES_PER_S: f64 = 2.5e6;

/// Time for which the messages to all followers may fill the leader's link, so that the
/// renewals of its lease, 600 ms apart, are not late.
const MAX_LINK_TIME: Duration = Duration::from_millis(60);

fn version(revision: u64, sequence: u64) -> AnnouncedVersion {
    AnnouncedVersion {
        position: StorePosition { era: 1, revision },
        sequence,
    }
}

/// Returns a record whose first `granted` ranges have acknowledged owners.
fn record(granted: u64) -> Arc<record::OwnershipRecord> {
    let owner = |index: u64| record::OwnerInfo {
        key: ids::UpstreamKey(index + 1),
        id: format!("i-{index:010x}").into(),
        started_ms: 1_792_539_000_000 + index,
        address: SocketAddr::from(([10, 4, 64, (index % 200) as u8], 8003)),
    };
    let width = 65_536 / RANGES + 1;
    let assignment = |index: u64| record::RangeAssignment {
        range: range::KeyRange {
            first: index * width,
            last: (index + 1) * width - 1,
        },
        owner: ids::UpstreamKey(index + 1),
        fence: index + 1,
        granted: index < granted,
        former_owners: record::FormerOwners::new(),
    };
    Arc::new(record::OwnershipRecord {
        write_id: 1,
        leader: record::InstanceInfo {
            run: ids::InstanceKey(1),
            name: "edge-yqr-1".to_owned(),
            address: SocketAddr::from(([10, 1, 0, 1], 7620)),
        },
        era: 1,
        lacks_moves: false,
        resigned: false,
        predecessors: Vec::new(),
        grant_ttl_ms: 10_000,
        next_fence: RANGES + 1,
        owners: (0..RANGES).map(owner).collect(),
        assignments: (0..RANGES).map(assignment).collect(),
    })
}

fn encode(update: RecordUpdate) -> Bytes {
    let content = match update {
        RecordUpdate::Patch {
            base,
            version,
            patch,
        } => MessageContent::Patch {
            base,
            version,
            patch,
        },
        RecordUpdate::Whole(newest) => MessageContent::Record {
            version: newest.version,
            record: newest.record,
        },
    };
    let message = PeerMessage {
        service: "tagtrack".to_owned(),
        run: ids::InstanceKey(1),
        name: "edge-yqr-1".to_owned(),
        content,
    };
    Bytes::from(message.encode())
}

/// A new leader has stored its claim, which all others read from the store, and announces
/// the first acknowledged grants. All report at the same time.
#[test]
fn a_new_leader_does_not_fill_its_link_with_records() {
    let mut history = RecordHistory::default();
    let claim = RecordVersion {
        version: version(7, 0),
        record: record(0),
    };
    history.add(claim);
    history.add(RecordVersion {
        version: version(7, 1),
        record: record(8),
    });
    let encodings = Cell::new(0);
    let count = |update| {
        encodings.set(encodings.get() + 1);
        encode(update)
    };
    let frames = (0..INSTANCES).map(|_| history.frame(version(7, 0), count));
    let bytes: usize = frames
        .map(|frame| frame.expect("there is a version").len())
        .sum();
    let link_time = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
    assert!(
        link_time < MAX_LINK_TIME,
        "{bytes} bytes take {link_time:?}"
    );
    assert_eq!(encodings.get(), 1, "the update is encoded once for all");
}

#[test]
fn a_follower_that_knows_no_kept_version_gets_the_whole_record() {
    let mut history = RecordHistory::default();
    let newest = RecordVersion {
        version: version(7, 1),
        record: record(8),
    };
    history.add(newest);
    for known in [version(3, 0), AnnouncedVersion::default(), version(9, 0)] {
        match history.update_from(known) {
            Some(RecordUpdate::Whole(whole)) => assert_eq!(whole.version, version(7, 1)),
            other => panic!("{other:?}"),
        }
    }
}

/// Every update must lead to the newest version, from wherever it starts.
#[test]
fn patches_lead_to_the_newest_version() {
    let mut history = RecordHistory::default();
    for sequence in 0..30 {
        history.add(RecordVersion {
            version: version(7, sequence),
            record: record(sequence * 9),
        });
    }
    for sequence in 0..30 {
        let update = history.update_from(version(7, sequence));
        let (version_after, record_after) = match update.expect("there is a version") {
            RecordUpdate::Patch { version, patch, .. } => {
                let base = record(sequence * 9);
                (version, patch.apply(&base).expect("the patch fits"))
            }
            RecordUpdate::Whole(whole) => (whole.version, (*whole.record).clone()),
        };
        assert_eq!(version_after, version(7, 29));
        assert_eq!(record_after, *record(29 * 9));
    }
}
