//! Ownership records as instances tell each other of them, and the store's relay.

use godwitloom::fleet::adapters::{DecodedItem, DeletedKey, StoreSchema};
use godwitloom::fleet::mirror::{StoreMirror, record_key};
use godwitloom::fleet::peer::{MessageContent, PeerMessage, RelayedChanges};
use godwitloom::fleet::relay::{FollowStep, RelayListener, StoreContact, relayed_changes};
use godwitloom::ownership::patch::RecordPatch;
use godwitloom::ownership::record::{
    FormerOwner, FormerOwners, InstanceInfo, OwnerInfo, OwnershipRecord, RangeAssignment,
    RecordVersion,
};
use godwitloom::range::KeyRange;
use godwitloom::store::{ChangeBatch, StoreChange, StoredItem};
use godwitloom::{event_log, ids};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::bytes::Bytes;

const LAST_KEY: u64 = 999;
const SERVICE: &str = "tags";
const START: Duration = Duration::from_secs(100);

fn owner(index: u64) -> OwnerInfo {
    OwnerInfo {
        key: ids::UpstreamKey(index),
        id: format!("server-{index}").into(),
        started_ms: index,
        address: SocketAddr::from(([127, 0, 0, 1], 9000 + index as u16)),
    }
}

/// Draws a record whose ranges, owners and former owners are random.
fn draw_record(random: &mut fastrand::Rng) -> OwnershipRecord {
    let mut cuts: Vec<u64> = (0..random.usize(0..12))
        .map(|_| random.u64(0..LAST_KEY))
        .collect();
    cuts.push(LAST_KEY);
    cuts.sort_unstable();
    cuts.dedup();
    let mut first = 0;
    let mut assignments = Vec::new();
    for last in cuts {
        let former = FormerOwner {
            key: ids::UpstreamKey(random.u64(1..4)),
            fence: random.u64(1..3),
        };
        assignments.push(RangeAssignment {
            range: KeyRange { first, last },
            owner: ids::UpstreamKey(random.u64(1..4)),
            fence: random.u64(1..3),
            granted: random.bool(),
            former_owners: random.bool().then_some(former).into_iter().collect(),
        });
        first = last + 1;
    }
    OwnershipRecord {
        write_id: random.u64(..),
        leader: InstanceInfo {
            run: ids::InstanceKey(random.u64(..)),
            name: "gw-0".to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 7000)),
        },
        resigned: random.bool(),
        predecessors: Vec::new(),
        grant_ttl_ms: 3000,
        next_fence: random.u64(..),
        owners: (1..4 + random.u64(0..3)).map(owner).collect(),
        assignments,
    }
}

fn order(revision: u64, step: u64) -> RecordVersion {
    RecordVersion {
        revision,
        sequence: step,
    }
}

#[test]
fn a_patch_turns_any_record_into_any_other() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..500 {
        let (old, new) = (draw_record(&mut random), draw_record(&mut random));
        let patch = RecordPatch::between(&old, &new);
        let patch = RecordPatch::decode(&patch.encode()).expect("it was encoded");
        assert_eq!(patch.apply(&old).expect("it fits"), new);
    }
}

#[test]
fn a_patch_that_does_not_fit_is_refused() {
    let holding = |first, last, fence| RangeAssignment {
        range: KeyRange { first, last },
        owner: ids::UpstreamKey(1),
        fence,
        granted: true,
        former_owners: FormerOwners::new(),
    };
    let record = |assignments| OwnershipRecord {
        assignments,
        ..draw_record(&mut fastrand::Rng::with_seed(1))
    };
    let old = record(vec![holding(0, 499, 1), holding(500, LAST_KEY, 2)]);
    let new = record(vec![holding(0, 499, 3), holding(500, LAST_KEY, 2)]);
    let other = record(vec![holding(0, 699, 1), holding(700, LAST_KEY, 2)]);
    let patch = RecordPatch::between(&old, &new);
    assert_eq!(patch.apply(&old).expect("it fits"), new);
    assert!(
        patch.apply(&other).is_err(),
        "keys 500 to 699 would be lost"
    );
}

#[test]
fn a_change_of_one_range_is_told_in_few_bytes() {
    let holding = |index: u64| RangeAssignment {
        range: KeyRange {
            first: index * 10,
            last: index * 10 + 9,
        },
        owner: ids::UpstreamKey(index),
        fence: index,
        granted: false,
        former_owners: FormerOwners::new(),
    };
    let mut old = draw_record(&mut fastrand::Rng::with_seed(1));
    old.owners = (0..300).map(owner).collect();
    old.assignments = (0..300).map(holding).collect();
    let mut new = old.clone();
    new.assignments[200].granted = true;
    let whole = old.encode().len();
    let patch = RecordPatch::between(&old, &new).encode().len();
    assert!(patch < 200, "{patch} bytes instead of {whole}");
}

/// Schema of a site without configuration or upstreams.
struct EmptySchema;

impl StoreSchema for EmptySchema {
    fn decode(&self, _: &StoredItem) -> DecodedItem {
        DecodedItem::Other
    }

    fn classify_deleted<'a>(&self, _: &'a str) -> DeletedKey<'a> {
        DeletedKey::Other
    }
}

fn mirror() -> StoreMirror {
    let log = event_log::EventLog::start("gw-1");
    StoreMirror::new(Box::new(EmptySchema), log)
}

fn stored(record: &OwnershipRecord, revision: u64) -> ChangeBatch {
    let item = StoredItem {
        key: record_key(SERVICE),
        value: Bytes::from(record.encode()),
        revision,
    };
    ChangeBatch {
        changes: vec![StoreChange::Put(item)],
        as_of: revision,
    }
}

#[test]
fn patches_follow_each_other_and_a_missed_one_shows() {
    let mut random = fastrand::Rng::with_seed(3);
    let records: Vec<_> = (0..4).map(|_| draw_record(&mut random)).collect();
    let mut mirror = mirror();
    mirror.apply_batch(START, stored(&records[0], 5));
    assert_eq!(mirror.record_order(SERVICE), order(5, 0));
    let first = RecordPatch::between(&records[0], &records[1]);
    mirror.patch_record(SERVICE, order(5, 0), order(5, 1), &first);
    assert_eq!(**mirror.record(SERVICE).expect("known"), records[1]);
    let third = RecordPatch::between(&records[2], &records[3]);
    mirror.patch_record(SERVICE, order(5, 2), order(5, 3), &third);
    assert_eq!(
        mirror.record_order(SERVICE),
        order(5, 1),
        "a gap is not jumped"
    );
    let whole = Arc::new(records[3].clone());
    mirror.put_record(SERVICE, order(5, 3), whole);
    assert_eq!(**mirror.record(SERVICE).expect("known"), records[3]);
    mirror.put_record(SERVICE, order(5, 2), Arc::new(records[2].clone()));
    assert_eq!(
        mirror.record_order(SERVICE),
        order(5, 3),
        "nothing is reverted"
    );
}

#[test]
fn a_stored_record_replaces_announcements_of_older_ones_only() {
    let mut random = fastrand::Rng::with_seed(4);
    let records: Vec<_> = (0..3).map(|_| draw_record(&mut random)).collect();
    let mut mirror = mirror();
    mirror.put_record(SERVICE, order(5, 2), Arc::new(records[0].clone()));
    mirror.apply_batch(START, stored(&records[1], 5));
    assert_eq!(mirror.record_order(SERVICE), order(5, 2));
    mirror.apply_batch(START, stored(&records[2], 6));
    assert_eq!(mirror.record_order(SERVICE), order(6, 0));
    mirror.put_record(SERVICE, order(5, 9), Arc::new(records[0].clone()));
    assert_eq!(**mirror.record(SERVICE).expect("known"), records[2]);
    let (_, revision) = mirror.store_view(SERVICE).record.expect("known");
    assert_eq!(revision, 6);
}

fn change(key: &str, bytes: usize, revision: u64) -> StoreChange {
    StoreChange::Put(StoredItem {
        key: key.to_owned(),
        value: Bytes::from(vec![0; bytes]),
        revision,
    })
}

#[test]
fn records_and_long_changes_are_not_relayed() {
    let batch = ChangeBatch {
        changes: vec![
            change("servers/a", 100, 8),
            change(&record_key(SERVICE), 100_000, 9),
        ],
        as_of: 9,
    };
    let relayed = relayed_changes(7, &batch);
    assert_eq!(relayed.after, Some(7));
    assert_eq!(relayed.batch.changes, batch.changes[..1]);
    let long = ChangeBatch {
        changes: vec![change("config", 100_000, 8)],
        as_of: 8,
    };
    let relayed = relayed_changes(7, &long);
    assert_eq!((relayed.after, relayed.batch.as_of), (None, 8));
    assert!(relayed.batch.changes.is_empty());
}

#[test]
fn relayed_changes_survive_the_wire() {
    let deleted = StoreChange::Deleted {
        key: "servers/b".to_owned(),
        revision: 12,
    };
    let message = PeerMessage {
        service: String::new(),
        run: ids::InstanceKey(5),
        name: "gw-0".to_owned(),
        content: MessageContent::Changes(RelayedChanges {
            after: Some(10),
            batch: ChangeBatch {
                changes: vec![change("servers/a", 3, 11), deleted],
                as_of: 12,
            },
        }),
    };
    assert_eq!(
        PeerMessage::decode(&message.encode()).expect("encoded"),
        message
    );
}

#[test]
fn a_listener_watches_the_store_once_its_relay_is_silent() {
    let mut listener = RelayListener::default();
    assert_eq!(listener.next_step(START, 5), FollowStep::Watch);
    listener.note_beacon(START, 5, 5);
    assert_eq!(listener.next_step(START, 5), FollowStep::Listen);
    let later = START + Duration::from_millis(800);
    assert_eq!(listener.next_step(later, 5), FollowStep::Listen);
    let bound = START + Duration::from_millis(1000);
    assert_eq!(listener.next_step(bound, 5), FollowStep::Watch);
    listener.note_beacon(bound, 5, 5);
    listener.forget();
    assert_eq!(
        listener.next_step(bound, 5),
        FollowStep::Watch,
        "the relay lost the store"
    );
}

#[test]
fn a_listener_catches_up_with_what_it_missed() {
    let mut listener = RelayListener::default();
    listener.note_beacon(START, 7, 5);
    assert_eq!(
        listener.next_step(START, 5),
        FollowStep::Listen,
        "still under way"
    );
    let later = START + Duration::from_millis(400);
    assert_eq!(listener.next_step(later, 5), FollowStep::CatchUp);
    listener.note_known(7);
    assert_eq!(listener.next_step(later, 7), FollowStep::Listen);
    listener.note_gap(later, 9);
    assert_eq!(
        listener.next_step(later, 7),
        FollowStep::CatchUp,
        "known to be left out"
    );
}

/// Changes must be known within 2 s although the store falls silent to the relay alone.
#[test]
fn a_relay_speaks_only_while_the_store_answers_it() {
    let mut contact = StoreContact::new(START);
    assert!(!contact.is_fresh(START));
    contact.note_heard(START);
    assert!(contact.is_fresh(START + Duration::from_millis(500)));
    let silent = START + Duration::from_millis(1000);
    assert!(!contact.is_fresh(silent));
    contact.note_heard(silent);
    contact.note_lost();
    assert!(!contact.is_fresh(silent));
}
