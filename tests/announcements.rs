//! Announced ownership records, their patches, and the relay of the store's changes.

use godwitloom::directory::{UpstreamEntry, UpstreamState};
use godwitloom::fleet::adapters::{DecodedItem, DeletedKey, StoreSchema};
use godwitloom::fleet::mirror::{StoreMirror, record_key};
use godwitloom::fleet::peer::{MessageContent, PeerMessage, RelayedChanges};
use godwitloom::fleet::relay::{
    ChangeHistory, GroupRole, RelayState, StoreContact, SyncMode, relay_groups, relayed_changes,
};
use godwitloom::ownership::patch::RecordPatch;
use godwitloom::ownership::record::{
    FormerOwner, FormerOwners, InstanceInfo, OwnerInfo, OwnershipRecord, RangeAssignment,
};
use godwitloom::range::KeyRange;
use godwitloom::store::{
    AnnouncedVersion, ChangeBatch, StoreChange, StoreListing, StorePosition, StoredItem,
};
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

/// Returns a record whose ranges, owners and former owners are random.
fn random_record(random: &mut fastrand::Rng) -> OwnershipRecord {
    let mut last_keys: Vec<u64> = (0..random.usize(0..12))
        .map(|_| random.u64(0..LAST_KEY))
        .collect();
    last_keys.push(LAST_KEY);
    last_keys.sort_unstable();
    last_keys.dedup();
    let mut first = 0;
    let mut assignments = Vec::new();
    for last in last_keys {
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
        era: 0,
        lacks_moves: random.bool(),
        resigned: random.bool(),
        predecessors: Vec::new(),
        grant_ttl_ms: 3000,
        next_fence: random.u64(..),
        owners: (1..4 + random.u64(0..3)).map(owner).collect(),
        assignments,
    }
}

/// Returns a position in a store that states no era.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn version(revision: u64, sequence: u64) -> AnnouncedVersion {
    AnnouncedVersion {
        position: at(revision),
        sequence,
    }
}

#[test]
fn a_patch_turns_any_record_into_any_other() {
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..500 {
        let (old, new) = (random_record(&mut random), random_record(&mut random));
        let patch = RecordPatch::between(&old, &new);
        let patch = RecordPatch::decode(&patch.encode()).expect("encoded patch is valid");
        assert_eq!(patch.apply(&old).expect("patch applies to its base"), new);
    }
}

#[test]
fn a_patch_of_another_record_is_rejected() {
    let assignment = |first, last, fence| RangeAssignment {
        range: KeyRange { first, last },
        owner: ids::UpstreamKey(1),
        fence,
        granted: true,
        former_owners: FormerOwners::new(),
    };
    let record = |assignments| OwnershipRecord {
        assignments,
        ..random_record(&mut fastrand::Rng::with_seed(1))
    };
    let old = record(vec![assignment(0, 499, 1), assignment(500, LAST_KEY, 2)]);
    let new = record(vec![assignment(0, 499, 3), assignment(500, LAST_KEY, 2)]);
    let other = record(vec![assignment(0, 699, 1), assignment(700, LAST_KEY, 2)]);
    let patch = RecordPatch::between(&old, &new);
    assert_eq!(patch.apply(&old).expect("patch applies to its base"), new);
    assert!(
        patch.apply(&other).is_err(),
        "keys 500 to 699 would have no owner"
    );
}

#[test]
fn a_patch_of_one_range_is_small() {
    let assignment = |index: u64| RangeAssignment {
        range: KeyRange {
            first: index * 10,
            last: index * 10 + 9,
        },
        owner: ids::UpstreamKey(index),
        fence: index,
        granted: false,
        former_owners: FormerOwners::new(),
    };
    let mut old = random_record(&mut fastrand::Rng::with_seed(1));
    old.owners = (0..300).map(owner).collect();
    old.assignments = (0..300).map(assignment).collect();
    let mut new = old.clone();
    new.assignments[200].granted = true;
    let whole = old.encode().len();
    let patch = RecordPatch::between(&old, &new).encode().len();
    assert!(patch < 200, "{patch} bytes instead of {whole}");
}

/// Schema of a platform without configuration or upstreams.
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

fn stored_batch(record: &OwnershipRecord, revision: u64) -> ChangeBatch {
    let item = StoredItem {
        key: record_key(SERVICE),
        value: Bytes::from(record.encode()),
        revision,
    };
    ChangeBatch {
        changes: vec![StoreChange::Put(item)],
        as_of: at(revision),
    }
}

#[test]
fn a_patch_after_a_missed_one_is_not_applied() {
    let mut random = fastrand::Rng::with_seed(3);
    let records: Vec<_> = (0..4).map(|_| random_record(&mut random)).collect();
    let mut mirror = mirror();
    mirror.apply_batch(START, stored_batch(&records[0], 5));
    assert_eq!(mirror.record_version(SERVICE), version(5, 0));
    let first = RecordPatch::between(&records[0], &records[1]);
    mirror.patch_record(SERVICE, version(5, 0), version(5, 1), &first);
    assert_eq!(**mirror.record(SERVICE).expect("known"), records[1]);
    let third = RecordPatch::between(&records[2], &records[3]);
    mirror.patch_record(SERVICE, version(5, 2), version(5, 3), &third);
    assert_eq!(
        mirror.record_version(SERVICE),
        version(5, 1),
        "the patch of a version that is not known must be dropped"
    );
    let whole = Arc::new(records[3].clone());
    mirror.put_record(SERVICE, version(5, 3), whole);
    assert_eq!(**mirror.record(SERVICE).expect("known"), records[3]);
    mirror.put_record(SERVICE, version(5, 2), Arc::new(records[2].clone()));
    assert_eq!(
        mirror.record_version(SERVICE),
        version(5, 3),
        "an older record must not replace a newer one"
    );
}

#[test]
fn a_stored_record_replaces_only_announcements_of_older_ones() {
    let mut random = fastrand::Rng::with_seed(4);
    let records: Vec<_> = (0..3).map(|_| random_record(&mut random)).collect();
    let mut mirror = mirror();
    mirror.put_record(SERVICE, version(5, 2), Arc::new(records[0].clone()));
    mirror.apply_batch(START, stored_batch(&records[1], 5));
    assert_eq!(mirror.record_version(SERVICE), version(5, 2));
    mirror.apply_batch(START, stored_batch(&records[2], 6));
    assert_eq!(mirror.record_version(SERVICE), version(6, 0));
    mirror.put_record(SERVICE, version(5, 9), Arc::new(records[0].clone()));
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
        as_of: at(9),
    };
    let relayed = relayed_changes(at(7), &batch);
    assert_eq!(relayed.after, Some(at(7)));
    assert_eq!(relayed.batch.changes, batch.changes[..1]);
    let long = ChangeBatch {
        changes: vec![change("config", 100_000, 8)],
        as_of: at(8),
    };
    let relayed = relayed_changes(at(7), &long);
    assert_eq!((relayed.after, relayed.batch.as_of), (None, at(8)));
    assert!(relayed.batch.changes.is_empty());
}

#[test]
fn relayed_changes_survive_encoding() {
    let deleted = StoreChange::Deleted {
        key: "servers/b".to_owned(),
        revision: 12,
    };
    let message = PeerMessage {
        service: String::new(),
        run: ids::InstanceKey(5),
        name: "gw-0".to_owned(),
        content: MessageContent::Changes(RelayedChanges {
            age: Duration::from_millis(70),
            after: Some(at(10)),
            batch: ChangeBatch {
                changes: vec![change("servers/a", 3, 11), deleted],
                as_of: at(12),
            },
        }),
    };
    assert_eq!(
        PeerMessage::decode(&message.encode()).expect("encoded"),
        message
    );
}

#[test]
fn a_follower_watches_the_store_once_its_relay_times_out() {
    let mut relay = RelayState::default();
    assert_eq!(relay.sync_mode(START, at(5)), SyncMode::Watch);
    relay.note_heartbeat(START, at(5), at(5));
    assert_eq!(relay.sync_mode(START, at(5)), SyncMode::Listen);
    let later = START + Duration::from_millis(800);
    assert_eq!(relay.sync_mode(later, at(5)), SyncMode::Listen);
    let timed_out = START + Duration::from_millis(1000);
    assert_eq!(relay.sync_mode(timed_out, at(5)), SyncMode::Watch);
    relay.note_heartbeat(timed_out, at(5), at(5));
    relay.clear();
    assert_eq!(
        relay.sync_mode(timed_out, at(5)),
        SyncMode::Watch,
        "the relay lost the store"
    );
}

#[test]
fn a_follower_reads_missed_changes_from_the_store() {
    let mut relay = RelayState::default();
    relay.note_heartbeat(START, at(7), at(5));
    assert_eq!(
        relay.sync_mode(START, at(5)),
        SyncMode::Listen,
        "the changes may be in transit"
    );
    let later = START + Duration::from_millis(400);
    assert_eq!(relay.sync_mode(later, at(5)), SyncMode::CatchUp);
    relay.note_known(at(7));
    assert_eq!(relay.sync_mode(later, at(7)), SyncMode::Listen);
    relay.note_gap(later, at(9));
    assert_eq!(
        relay.sync_mode(later, at(7)),
        SyncMode::CatchUp,
        "the relay left the changes out"
    );
}

/// Changes must be known within 2 s even if the store stops responding to the relay only.
#[test]
fn a_leader_relays_only_while_the_store_responds() {
    let mut contact = StoreContact::new(START);
    assert!(!contact.is_fresh(START));
    contact.note_response(START);
    assert!(contact.is_fresh(START + Duration::from_millis(500)));
    let silent = START + Duration::from_millis(1000);
    assert!(!contact.is_fresh(silent));
    contact.note_response(silent);
    contact.note_lost();
    assert!(!contact.is_fresh(silent));
}

/// Listing of the ownership record at a position.
fn listing(record: &OwnershipRecord, era: u64, revision: u64) -> StoreListing {
    let batch = stored_batch(record, revision);
    let items = batch.changes.into_iter();
    StoreListing {
        items: items.filter_map(StoreChange::into_item).collect(),
        as_of: StorePosition { era, revision },
    }
}

#[test]
fn a_restored_store_is_followed_although_its_revisions_went_back() {
    let mut random = fastrand::Rng::with_seed(9);
    let mut records: Vec<_> = (0..3).map(|_| random_record(&mut random)).collect();
    for (record, era) in records.iter_mut().zip([1, 1, 2]) {
        record.era = era;
    }
    let mut mirror = mirror();
    mirror.apply_listing(START, listing(&records[1], 1, 9));
    mirror.apply_listing(START, listing(&records[0], 2, 5));
    let position = StorePosition {
        era: 2,
        revision: 5,
    };
    assert_eq!(mirror.as_of(), position);
    let view = mirror.store_view(SERVICE);
    assert_eq!(
        view.record,
        Some((records[1].clone(), 5)),
        "the newest record is remembered, and its key has the revision of the copy"
    );
    mirror.apply_listing(START, listing(&records[1], 1, 10));
    assert_eq!(
        mirror.as_of(),
        position,
        "a response of the earlier era came late"
    );
    let mut written = stored_batch(&records[2], 6);
    written.as_of = StorePosition {
        era: 2,
        revision: 6,
    };
    mirror.apply_batch(START, written);
    let view = mirror.store_view(SERVICE);
    assert_eq!(view.record, Some((records[2].clone(), 6)));
}

#[test]
fn a_relay_of_an_earlier_era_is_behind_one_that_knows_the_present_one() {
    let mut relay = RelayState::default();
    let restored = StorePosition {
        era: 1,
        revision: 3,
    };
    relay.note_heartbeat(START, restored, at(9));
    let later = START + Duration::from_millis(400);
    assert_eq!(relay.sync_mode(later, at(9)), SyncMode::CatchUp);
}

fn addresses(count: u16) -> Vec<SocketAddr> {
    let address = |index: u16| SocketAddr::from(([10, 0, (index / 200) as u8, 1], 7000 + index));
    (0..count).map(address).collect()
}

/// Messages that one instance sends for one change may not grow with the fleet, beyond its
/// square root.
#[test]
fn a_relay_of_hundreds_sends_to_few_and_each_follower_is_in_one_group() {
    for count in [0, 1, 24, 25, 195, 670] {
        let all = addresses(count);
        let groups = relay_groups(&all);
        let mut reached: Vec<SocketAddr> = Vec::new();
        for group in &groups {
            reached.push(group.head);
            reached.extend(&group.others);
            assert!(
                group.others.len() <= 30,
                "{} in a group",
                group.others.len()
            );
        }
        reached.sort_unstable();
        assert_eq!(reached, all);
        assert!(groups.len() <= 30, "{} groups of {count}", groups.len());
    }
}

#[test]
fn a_follower_asks_its_relay_before_it_reads_missed_changes_from_the_store() {
    let mut relay = RelayState::default();
    let address = addresses(1)[0];
    relay.note_heartbeat(START, at(7), at(5));
    relay.note_relay(address, GroupRole::Alone);
    let later = START + Duration::from_millis(400);
    relay.note_heartbeat(later, at(7), at(5));
    assert_eq!(relay.sync_mode(later, at(5)), SyncMode::Ask);
    assert_eq!(relay.next_ask(later), Some(address));
    assert_eq!(relay.next_ask(later), None, "one ask for each wait");
    let unanswered = START + Duration::from_millis(800);
    assert_eq!(relay.sync_mode(unanswered, at(5)), SyncMode::CatchUp);
    relay.note_known(at(7));
    assert_eq!(relay.sync_mode(unanswered, at(7)), SyncMode::Listen);
    relay.note_lost(unanswered, at(9));
    assert_eq!(relay.sync_mode(unanswered, at(7)), SyncMode::Ask);
    relay.note_gap(unanswered, at(10));
    assert_eq!(
        relay.sync_mode(unanswered, at(7)),
        SyncMode::CatchUp,
        "the relay does not have the changes"
    );
}

/// A change that is overdue stays overdue while newer ones are announced.
#[test]
fn a_follower_that_lags_behind_steady_changes_reads_them_from_the_store() {
    let mut relay = RelayState::default();
    relay.note_relay(addresses(1)[0], GroupRole::Alone);
    for round in 0..4 {
        let now = START + Duration::from_millis(300 * round);
        relay.note_heartbeat(now, at(7 + round), at(5));
    }
    let now = START + Duration::from_millis(1000);
    assert_eq!(relay.sync_mode(now, at(5)), SyncMode::CatchUp);
}

#[test]
fn a_relay_repeats_what_it_has_and_nothing_with_gaps() {
    let batch = |revision| ChangeBatch {
        changes: vec![change("servers/a", 100, revision)],
        as_of: at(revision),
    };
    let mut history = ChangeHistory::default();
    history.add(at(5), &batch(6));
    history.add(at(6), &batch(8));
    let repeated = history.since(at(6)).expect("all are kept");
    assert_eq!((repeated.after, repeated.batch), (Some(at(6)), batch(8)));
    assert!(
        history.since(at(4)).is_none(),
        "earlier changes are missing"
    );
    assert!(history.since(at(8)).is_none(), "nothing is missing");
    history.add(at(10), &batch(11));
    assert!(
        history.since(at(6)).is_none(),
        "changes after 8 are missing"
    );
    assert!(history.since(at(10)).is_some());
    history.clear();
    assert!(history.since(at(10)).is_none());
}

#[test]
fn messages_of_groups_survive_encoding() {
    let message = |content| PeerMessage {
        service: String::new(),
        run: ids::InstanceKey(5),
        name: "gw-0".to_owned(),
        content,
    };
    let heartbeat = |role| MessageContent::Heartbeat {
        age: Duration::from_millis(450),
        position: at(5),
        instances: 195,
        relayed: Some(at(6)),
        role,
        probe: false,
    };
    let frame = Bytes::from(message(heartbeat(GroupRole::Alone)).encode());
    let contents = [
        heartbeat(GroupRole::Covered),
        heartbeat(GroupRole::Head(addresses(13))),
        MessageContent::ChangesAsk { after: at(6) },
        MessageContent::Forward {
            addresses: addresses(3),
            frame,
        },
        MessageContent::Items {
            era: 1,
            items: vec![StoredItem {
                key: "config".to_owned(),
                value: Bytes::from_static(b"routes"),
                revision: 6,
            }],
        },
    ];
    for content in contents {
        let message = message(content);
        let decoded = PeerMessage::decode(&message.encode()).expect("encoded");
        assert_eq!(decoded, message);
    }
}

/// A message that asks to pass on another of its kind would travel without end.
#[test]
fn only_changes_and_records_are_passed_on() {
    let forward = MessageContent::Forward {
        addresses: addresses(1),
        frame: Bytes::new(),
    };
    assert!(!forward.may_be_forwarded());
    assert!(!MessageContent::ChangesAsk { after: at(1) }.may_be_forwarded());
}

/// Schema of a platform whose items are upstreams that their keys name.
struct UpstreamSchema;

impl StoreSchema for UpstreamSchema {
    fn decode(&self, item: &StoredItem) -> DecodedItem {
        DecodedItem::Upstream(Box::new(UpstreamEntry {
            id: item.key.as_str().into(),
            started_ms: 1,
            service: SERVICE.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9000)),
            zone: "yqr".into(),
            slots: 4,
            state: UpstreamState::Ready,
            sequence: 7,
            warmup: Duration::ZERO,
        }))
    }

    fn classify_deleted<'a>(&self, key: &'a str) -> DeletedKey<'a> {
        DeletedKey::Upstream(key)
    }
}

/// Regression test: an upstream that had left got requests for as long as the instance did
/// not list the store again.
#[test]
fn a_listing_or_change_that_is_older_than_a_removal_brings_no_upstream_back() {
    let log = event_log::EventLog::start("gw-1");
    let item = || StoredItem {
        key: "server-1".to_owned(),
        value: Bytes::new(),
        revision: 3,
    };
    let put = || ChangeBatch {
        changes: vec![StoreChange::Put(item())],
        as_of: at(4),
    };
    let deletion = || ChangeBatch {
        changes: vec![StoreChange::Deleted {
            key: "server-1".to_owned(),
            revision: 5,
        }],
        as_of: at(5),
    };
    let listing = || StoreListing {
        items: vec![item()],
        as_of: at(4),
    };
    let is_known = |mirror: &StoreMirror| mirror.directory.iter().next().is_some();
    let mut mirror = StoreMirror::new(Box::new(UpstreamSchema), log.clone());
    mirror.apply_batch(START, put());
    assert!(is_known(&mirror));
    // The relay tells the removal while the call that lists the store is under way.
    mirror.apply_batch(START, deletion());
    mirror.apply_listing(START, listing());
    assert!(!is_known(&mirror), "brought back by a listing");
    mirror.apply_batch(START, put());
    assert!(!is_known(&mirror), "brought back by an earlier change");
    // An instance that has never known it.
    let mut other = StoreMirror::new(Box::new(UpstreamSchema), log);
    other.apply_batch(START, deletion());
    other.apply_listing(START, listing());
    assert!(!is_known(&other), "added by a listing");
    let mut later = put();
    later.changes = vec![StoreChange::Put(StoredItem {
        revision: 6,
        ..item()
    })];
    mirror.apply_batch(START, later);
    assert!(is_known(&mirror), "a new entry counts");
}
