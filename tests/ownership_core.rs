//! Tests of one instance's ownership core: which actions it returns for which events.

use godwitloom::ids;
use godwitloom::ownership::core::OwnershipCore;
use godwitloom::ownership::interface::{
    CommitCommand, CommitResult, GrantCommand, GrantResult, LeaderView, OwnershipAction,
    OwnershipEvent, OwnershipSettings, ReleaseResult, StoreView,
};
use godwitloom::ownership::{candidates, leadership, load, record};
use godwitloom::store::StorePosition;
use std::net::SocketAddr;
use std::time::Duration;

const LAST_KEY: u64 = 63;
const TICK: Duration = Duration::from_millis(50);

/// Returns a position in the first era of the store.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

fn instance(name: &str, run: u64) -> record::InstanceInfo {
    record::InstanceInfo {
        run: ids::InstanceKey::derive(name, run),
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
    }
}

fn candidate(index: u16, draining: bool) -> candidates::OwnerCandidate {
    let id = format!("server-{index}");
    candidates::OwnerCandidate {
        info: record::OwnerInfo {
            key: ids::UpstreamKey::derive_run("service", &id, 1),
            id: id.into(),
            started_ms: 1,
            address: SocketAddr::from(([127, 0, 0, 1], 9000 + index)),
        },
        draining,
        slots: 4,
        warmup_until: Duration::ZERO,
    }
}

/// Two upstreams; those with an index in `draining` are draining.
fn candidates(draining: &[u16]) -> candidates::CandidateTable {
    let all = (0..2).map(|index| candidate(index, draining.contains(&index)));
    candidates::CandidateTable::new(all.collect())
}

/// Runs a core, answers its calls to the store and to upstreams, and records them.
struct Driver {
    core: OwnershipCore,
    now: Duration,
    revision: u64,
    commits: Vec<CommitCommand>,
    grants: Vec<GrantCommand>,
    releases: Vec<(record::FormerOwner, godwitloom::range::KeyRange)>,
    announced: Vec<record::OwnershipRecord>,
    /// Whether calls to the store get a response.
    store_responds: bool,
    /// Whether grant calls get a response.
    grants_respond: bool,
    /// Whether release calls end; otherwise they stay in flight.
    releases_end: bool,
}

impl Driver {
    fn new(name: &str, run: u64) -> Driver {
        let settings = OwnershipSettings {
            last_key: LAST_KEY,
            max_grant_ttl: Duration::from_secs(10),
            first_start: true,
        };
        Driver {
            core: OwnershipCore::new(instance(name, run), settings),
            now: Duration::from_secs(100),
            revision: 10,
            commits: Vec::new(),
            grants: Vec::new(),
            releases: Vec::new(),
            announced: Vec::new(),
            store_responds: true,
            grants_respond: true,
            releases_end: true,
        }
    }

    /// Passes an event to the core, then the events that its actions cause.
    fn feed(&mut self, event: OwnershipEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.core.step(self.now, event) {
                events.extend(self.answer(action));
            }
        }
    }

    /// Returns the event by which an action's call ends, if it does.
    fn answer(&mut self, action: OwnershipAction) -> Option<OwnershipEvent> {
        let sent = self.now;
        match action {
            OwnershipAction::OpenLease { .. } => Some(OwnershipEvent::LeaseOpened {
                sent,
                lease: self.store_responds.then_some(1),
            }),
            OwnershipAction::RenewLease { .. } => Some(OwnershipEvent::LeaseRenewed {
                sent,
                alive: self.store_responds.then_some(true),
            }),
            OwnershipAction::Commit(command) => {
                self.commits.push(*command);
                self.revision += 1;
                let revision = self.revision;
                let result = match self.store_responds {
                    true => CommitResult::Committed { revision },
                    false => CommitResult::Unknown,
                };
                Some(OwnershipEvent::CommitFinished(result))
            }
            OwnershipAction::Grant(command) => {
                let event = OwnershipEvent::GrantFinished {
                    range: command.range,
                    owner: command.owner.key,
                    fence: command.fence,
                    sent,
                    result: match self.grants_respond {
                        true => GrantResult::Granted,
                        false => GrantResult::Unanswered,
                    },
                };
                self.grants.push(command);
                Some(event)
            }
            OwnershipAction::Release(command) => {
                self.releases.push((command.former, command.range));
                self.releases_end
                    .then_some(OwnershipEvent::ReleaseFinished {
                        range: command.range,
                        former: command.former,
                        result: ReleaseResult::Released(Some("state".to_owned())),
                    })
            }
            OwnershipAction::Announce(announcement) => {
                self.announced.push(announcement.record);
                None
            }
            OwnershipAction::ProbePredecessor(_) | OwnershipAction::Report(_) => None,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.feed(OwnershipEvent::Tick);
        }
    }

    /// Makes the core the leader of a service with the stored record `record`.
    fn lead(&mut self, record: Option<record::OwnershipRecord>) {
        let view = StoreView {
            leader: None,
            record: record.map(|record| (record, 5)),
            as_of: at(6),
        };
        self.feed(OwnershipEvent::CandidatesUpdated(candidates(&[])));
        self.feed(OwnershipEvent::StoreUpdated(view));
        self.run(Duration::from_secs(2));
        assert!(self.core.is_leading());
    }

    fn last_record(&self) -> &record::OwnershipRecord {
        &self.commits.last().expect("a record was written").record
    }
}

#[test]
fn grants_follow_the_stored_record() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    let first = driver
        .commits
        .iter()
        .position(|commit| !commit.record.assignments.is_empty());
    let stored = &driver.commits[first.expect("an initial assignment is stored")].record;
    for grant in &driver.grants {
        let same = |assignment: &&record::RangeAssignment| assignment.range == grant.range;
        let assignment = stored
            .assignments
            .iter()
            .find(same)
            .expect("an assignment is stored before its grant is sent");
        assert_eq!(
            (assignment.owner, assignment.fence),
            (grant.owner.key, grant.fence)
        );
    }
    let announced = driver
        .announced
        .last()
        .expect("acknowledged grants are announced");
    assert!(
        announced
            .assignments
            .iter()
            .all(|assignment| assignment.granted)
    );
}

#[test]
fn nothing_is_granted_before_its_write_is_committed() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.store_responds = false;
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[0])));
    driver.grants.clear();
    driver.run(Duration::from_secs(3));
    let draining_owner = candidate(0, true).info.key;
    assert!(
        driver.releases.is_empty(),
        "a release needs a committed assignment too"
    );
    assert!(
        driver
            .grants
            .iter()
            .all(|grant| grant.owner.key != draining_owner),
        "a range that may have a new owner is not renewed"
    );
    assert!(!driver.grants.is_empty(), "other ranges are renewed");
}

#[test]
fn authority_expires_during_a_store_outage() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.store_responds = false;
    driver.run(leadership::AUTHORITY_TTL - Duration::from_secs(1));
    assert!(
        driver.core.is_leading(),
        "a leader acts through a store outage until its authority expires"
    );
    driver.run(Duration::from_secs(2));
    assert!(!driver.core.is_leading());
    driver.grants.clear();
    driver.run(Duration::from_secs(5));
    assert!(driver.grants.is_empty());
}

#[test]
fn a_draining_owner_releases_before_another_is_granted() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.grants.clear();
    driver.releases_end = false;
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[0])));
    driver.run(Duration::from_millis(500));
    let (former, range) = *driver.releases.first().expect("a release is sent");
    assert_eq!(former.key, candidate(0, true).info.key);
    let granted = |driver: &Driver| {
        driver
            .grants
            .iter()
            .any(|grant| grant.range.overlaps(&range))
    };
    assert!(
        !granted(&driver),
        "the former owner may still be running requests"
    );
    driver.feed(OwnershipEvent::ReleaseFinished {
        range,
        former,
        result: ReleaseResult::Released(Some("state".to_owned())),
    });
    driver.run(TICK * 2);
    let grant = driver.grants.iter().find(|grant| grant.range == range);
    let grant = grant.expect("the next owner is sent a grant at once");
    assert!(grant.fence > former.fence);
    assert_eq!(grant.handover.as_deref(), Some("state"));
}

#[test]
fn an_unanswered_grant_must_expire_before_its_range_moves() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.grants_respond = false;
    driver.run(Duration::from_millis(1100));
    driver.grants_respond = true;
    driver.grants.clear();
    let drain_start = driver.now;
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[0])));
    let draining_owner = candidate(0, true).info.key;
    while !driver
        .releases
        .iter()
        .any(|(former, _)| former.key == draining_owner)
    {
        driver.run(TICK);
    }
    let (_, range) = driver.releases[0];
    while !driver.grants.iter().any(|grant| grant.range == range) {
        driver.run(TICK);
        assert!(driver.now < drain_start + Duration::from_secs(10));
    }
    assert!(
        driver.now >= drain_start + Duration::from_secs(3),
        "the unanswered grant may still be valid"
    );
}

/// While the process was suspended, another instance may have become the leader and
/// upstreams may have restarted.
#[test]
fn a_resumed_leader_grants_nothing_before_a_response_of_the_store() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.store_responds = false;
    driver.run(Duration::from_millis(500));
    driver.now += Duration::from_secs(3);
    driver.grants.clear();
    driver.run(Duration::from_secs(1));
    assert!(driver.grants.is_empty(), "{:?}", driver.grants);
}

#[test]
fn a_leader_that_is_not_suspended_grants_during_a_store_outage() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.store_responds = false;
    driver.run(Duration::from_millis(4000));
    driver.grants.clear();
    driver.run(Duration::from_secs(2));
    assert!(!driver.grants.is_empty());
}

/// Record of the leader `gw-1`, with two ranges and an owner for each.
fn record_of_other_leader(resigned: bool) -> record::OwnershipRecord {
    let owners = [candidate(0, false).info, candidate(1, false).info];
    let assignment = |first: u64, owner: &record::OwnerInfo, fence| record::RangeAssignment {
        range: godwitloom::range::KeyRange {
            first,
            last: first + 31,
        },
        owner: owner.key,
        fence,
        granted: true,
        former_owners: record::FormerOwners::new(),
    };
    record::OwnershipRecord {
        write_id: 1,
        leader: instance("gw-1", 1),
        era: 1,
        lacks_moves: false,
        resigned,
        predecessors: Vec::new(),
        grant_ttl_ms: 3000,
        next_fence: 3,
        assignments: vec![assignment(0, &owners[0], 1), assignment(32, &owners[1], 2)],
        owners: owners.to_vec(),
    }
}

#[test]
fn a_new_leader_renews_at_once_and_fences_off_its_predecessor() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(Some(record_of_other_leader(false)));
    let owners: Vec<_> = driver.grants.iter().map(|grant| grant.owner.key).collect();
    assert!(owners.contains(&candidate(0, false).info.key));
    assert!(
        driver.grants.iter().all(|grant| grant.fence >= 3),
        "upstreams must refuse the predecessor's lower fencing tokens"
    );
    let record = driver.last_record();
    assert_eq!(
        record.predecessors,
        [instance("gw-1", 1)],
        "a later leader must know of the predecessor too"
    );
    // The predecessor is not proven to have stopped, yet its fencing tokens are refused.
    let drain_start = driver.now;
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[0])));
    driver.grants.clear();
    driver.run(Duration::from_secs(1));
    let moved = driver
        .grants
        .iter()
        .any(|grant| grant.range.first < 32 && grant.owner.key == candidate(1, false).info.key);
    assert!(moved, "no key moved within {:?}", driver.now - drain_start);
}

#[test]
fn leaders_before_the_predecessor_stay_in_the_record() {
    let mut record = record_of_other_leader(false);
    record.predecessors = vec![instance("gw-2", 1)];
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(Some(record));
    let expected = [instance("gw-2", 1), instance("gw-1", 1)];
    assert_eq!(driver.last_record().predecessors, expected);
}

#[test]
fn the_range_of_an_unresponsive_owner_moves_only_after_the_predecessor_stopped() {
    let mut driver = Driver::new("gw-0", 1);
    driver.grants_respond = false;
    driver.lead(Some(record_of_other_leader(false)));
    let only = candidates::CandidateTable::new(vec![candidate(1, false)]);
    driver.feed(OwnershipEvent::CandidatesUpdated(only));
    driver.run(Duration::from_secs(5));
    let moved = |driver: &Driver| {
        driver
            .grants
            .iter()
            .any(|grant| grant.range.first < 32 && grant.owner.key == candidate(1, false).info.key)
    };
    assert!(
        !moved(&driver),
        "the predecessor may still renew the unresponsive owner's grant"
    );
    driver.grants_respond = true;
    driver.releases_end = false;
    driver.feed(OwnershipEvent::InstanceSeen {
        name: "gw-1".to_owned(),
        run: instance("gw-1", 2).run,
        leading: false,
    });
    driver.run(Duration::from_secs(6));
    assert!(moved(&driver), "a restarted predecessor renews nothing");
}

#[test]
fn a_resigned_leader_is_not_a_predecessor() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(Some(record_of_other_leader(true)));
    assert!(driver.last_record().predecessors.is_empty());
}

#[test]
fn an_earlier_run_of_the_same_instance_is_replaced_at_once() {
    let mut driver = Driver::new("gw-1", 2);
    let view = StoreView {
        leader: Some(LeaderView {
            run: instance("gw-1", 1).run,
            name: "gw-1".to_owned(),
            era: 1,
            revision: 4,
        }),
        record: Some((record_of_other_leader(false), 5)),
        as_of: at(6),
    };
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[])));
    driver.feed(OwnershipEvent::StoreUpdated(view));
    driver.run(Duration::from_millis(300));
    assert!(driver.core.is_leading());
    assert_eq!(driver.commits[0].leader_revision, 4);
    assert!(driver.commits[0].record.predecessors.is_empty());
}

/// Regression test: two instances claimed leadership within 50 ms, and the later one
/// replaced the leader that it had seen in between.
#[test]
fn a_claim_is_given_up_once_another_leads() {
    let mut driver = Driver::new("gw-0", 1);
    driver.store_responds = false;
    let view = StoreView {
        leader: None,
        record: None,
        as_of: at(6),
    };
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[])));
    driver.feed(OwnershipEvent::StoreUpdated(view));
    let mut lease_requested = false;
    for _ in 0..10 {
        driver.now += TICK;
        let actions = driver.core.step(driver.now, OwnershipEvent::Tick);
        lease_requested |= actions
            .iter()
            .any(|action| matches!(action, OwnershipAction::OpenLease { .. }));
    }
    assert!(lease_requested);
    driver.feed(OwnershipEvent::StoreUpdated(StoreView {
        leader: Some(LeaderView {
            run: instance("gw-1", 1).run,
            name: "gw-1".to_owned(),
            era: 1,
            revision: 7,
        }),
        record: Some((record_of_other_leader(false), 7)),
        as_of: at(7),
    }));
    driver.feed(OwnershipEvent::LeaseOpened {
        sent: driver.now,
        lease: Some(1),
    });
    assert!(driver.commits.is_empty(), "another instance leads");
}

/// Regression test: every range of a lost owner was divided into four, however small,
/// until there were 140 ranges, whose renewals needed a grant TTL of ten seconds.
#[test]
fn the_loss_of_an_owner_leaves_few_ranges() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    let others = (1..5).map(|index| candidate(index, false)).collect();
    driver.feed(OwnershipEvent::CandidatesUpdated(
        candidates::CandidateTable::new(others),
    ));
    driver.run(Duration::from_secs(6));
    let record = driver.last_record();
    assert!(record.assignments.len() <= 4, "{:?}", record.assignments);
}

#[test]
fn small_ranges_of_a_lost_owner_are_not_divided() {
    let mut record = record_of_other_leader(true);
    let owners = [record.owners[0].key, record.owners[1].key];
    let small = (0..32u64).map(|index| record::RangeAssignment {
        range: godwitloom::range::KeyRange {
            first: index * 2,
            last: index * 2 + 1,
        },
        owner: owners[index as usize % 2],
        fence: index + 1,
        granted: true,
        former_owners: record::FormerOwners::new(),
    });
    record.assignments = small.collect();
    record.next_fence = 33;
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(Some(record));
    let counts = (0..=LAST_KEY).map(|key| load::BucketCount {
        bucket: load::bucket_of(key, LAST_KEY) as u32,
        count: 1,
    });
    driver.feed(OwnershipEvent::LoadReported(load::LoadReport {
        counts: counts.collect(),
        latencies: Vec::new(),
    }));
    let others = (1..5).map(|index| candidate(index, false)).collect();
    driver.feed(OwnershipEvent::CandidatesUpdated(
        candidates::CandidateTable::new(others),
    ));
    driver.run(Duration::from_millis(500));
    let commits = driver.commits.iter();
    let most = commits.map(|commit| commit.record.assignments.len()).max();
    assert!(most <= Some(32), "{most:?} ranges");
}

#[test]
fn a_stopping_leader_resigns_once_its_calls_have_ended() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.feed(OwnershipEvent::Stop);
    driver.run(TICK * 3);
    let last = driver.commits.last().expect("a record was written");
    assert!(last.resign && last.record.resigned);
    assert!(driver.core.is_following());
    driver.grants.clear();
    driver.run(Duration::from_secs(3));
    assert!(driver.grants.is_empty());
}

/// Regression test: releases were sent again every 150 ms to an address that an
/// upstream of another service used by then.
#[test]
fn a_former_owner_whose_address_has_another_upstream_has_ended() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.releases_end = false;
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[0])));
    driver.run(Duration::from_millis(200));
    let (former, range) = driver.releases[0];
    driver.grants.clear();
    driver.feed(OwnershipEvent::ReleaseFinished {
        range,
        former,
        result: ReleaseResult::Misdirected,
    });
    driver.run(TICK * 2);
    let granted = driver.grants.iter().any(|grant| grant.range == range);
    assert!(granted, "the former owner is not waited for");
}

/// Regression test: a leader that was stopped during a store outage renewed nothing,
/// while no other instance could become the leader.
#[test]
fn a_stopping_leader_renews_until_its_resignation_is_committed() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.store_responds = false;
    driver.run(Duration::from_secs(2));
    driver.feed(OwnershipEvent::Stop);
    driver.grants.clear();
    driver.run(Duration::from_secs(3));
    assert!(
        driver.grants.len() >= 4,
        "both ranges are renewed every second"
    );
    assert!(driver.commits.iter().all(|commit| !commit.resign));
    driver.store_responds = true;
    driver.run(Duration::from_secs(2));
    assert!(driver.commits.last().is_some_and(|commit| commit.resign));
    assert!(driver.core.is_following());
}

#[test]
fn a_record_written_by_another_leader_ends_the_leadership() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.store_responds = false;
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[0])));
    driver.run(TICK);
    let other = CommitResult::Conflict(Some((Box::new(record_of_other_leader(false)), 50)));
    driver.feed(OwnershipEvent::CommitFinished(other));
    driver.run(TICK);
    assert!(!driver.core.is_leading());
}

/// Reports load with one hot key for three seconds.
fn report_hot_key(driver: &mut Driver, key: u64) {
    let hot = load::bucket_of(key, LAST_KEY) as u32;
    for _ in 0..10 {
        let mut counts: Vec<_> = (0..LAST_KEY)
            .map(|key| load::BucketCount {
                bucket: load::bucket_of(key, LAST_KEY) as u32,
                count: 1,
            })
            .collect();
        counts.push(load::BucketCount {
            bucket: hot,
            count: 60,
        });
        let latencies = (0..2).map(|index| load::OwnerLatency {
            owner: candidate(index, false).info.key,
            responses: 20,
            sum_ms: 4000,
        });
        driver.feed(OwnershipEvent::LoadReported(load::LoadReport {
            counts,
            latencies: latencies.collect(),
        }));
        driver.run(Duration::from_millis(300));
    }
}

/// Regression test: when a part of a range was to move and the store stopped responding
/// before that was written, the grant of the whole range expired.
#[test]
fn the_rest_of_a_range_is_renewed_while_a_move_is_uncommitted() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.store_responds = false;
    driver.grants.clear();
    report_hot_key(&mut driver, 5);
    let planned = driver.last_record().clone();
    assert!(
        planned.assignments.len() > 2,
        "a part of a range is to move"
    );
    driver.grants.clear();
    driver.run(Duration::from_secs(2));
    for assignment in &planned.assignments {
        let renewed = |grant: &&GrantCommand| grant.range.overlaps(&assignment.range);
        let renewed = driver.grants.iter().find(renewed);
        match assignment.former_owners.is_empty() {
            true => assert!(renewed.is_some(), "{:?} expires", assignment.range),
            false => assert!(renewed.is_none(), "{:?} may have moved", assignment.range),
        }
    }
}

#[test]
fn hot_keys_are_split_off_and_moved() {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    report_hot_key(&mut driver, 5);
    let record = driver.announced.last().expect("moves are announced");
    assert!(record.assignments.len() > 2, "{:?}", record.assignments);
    let contiguous = record
        .assignments
        .windows(2)
        .all(|pair| pair[0].range.last + 1 == pair[1].range.first);
    assert!(contiguous, "the ranges have no gaps");
}

#[test]
fn records_survive_encoding() {
    let record = record_of_other_leader(true);
    let decoded = record::OwnershipRecord::decode(&record.encode()).expect("valid record");
    assert_eq!(decoded, record);
    assert!(record::OwnershipRecord::decode(b"\xff\xff").is_err());
}

/// A leader that was in contact with the store until it failed.
fn leader_before_restoration() -> Driver {
    let mut driver = Driver::new("gw-0", 1);
    driver.lead(None);
    driver.run(Duration::from_secs(1));
    driver
}

/// The view of a store that was restored from a copy without the present leader.
fn restored_view(record: Option<record::OwnershipRecord>) -> StoreView {
    StoreView {
        leader: None,
        record: record.map(|record| (record, 3)),
        as_of: StorePosition {
            era: 2,
            revision: 4,
        },
    }
}

fn highest_fence(grants: &[GrantCommand]) -> u64 {
    let fences = grants.iter().map(|grant| grant.fence);
    fences.max().expect("grants were sent")
}

#[test]
fn a_leader_claims_again_with_its_own_assignments_after_a_restoration() {
    let mut driver = leader_before_restoration();
    let fence = highest_fence(&driver.grants);
    let assignments = driver.last_record().assignments.clone();
    let known = driver.announced.last().cloned();
    driver.commits.clear();
    driver.grants.clear();
    driver.feed(OwnershipEvent::StoreUpdated(restored_view(known)));
    driver.run(Duration::from_millis(1200));
    assert!(driver.core.is_leading());
    let claim = &driver.commits[0];
    assert_eq!((claim.leader_revision, claim.record_revision), (0, 3));
    assert!(claim.claim_lease.is_some());
    assert_eq!(claim.record.era, 2);
    let owners = |assignments: &[record::RangeAssignment]| -> Vec<_> {
        let owners = assignments.iter();
        owners
            .map(|assignment| (assignment.range, assignment.owner))
            .collect()
    };
    assert_eq!(owners(&claim.record.assignments), owners(&assignments));
    let raised = driver.grants.iter().filter(|grant| grant.fence > fence);
    assert!(
        raised.count() >= 2,
        "both ranges are renewed above all earlier tokens"
    );
}

#[test]
fn a_leader_out_of_contact_for_long_does_not_go_on_after_a_restoration() {
    let mut driver = leader_before_restoration();
    driver.store_responds = false;
    driver.run(leadership::RECLAIM_WINDOW + Duration::from_secs(1));
    assert!(driver.core.is_leading());
    let known = driver.announced.last().cloned();
    driver.grants.clear();
    driver.feed(OwnershipEvent::StoreUpdated(restored_view(known)));
    assert!(!driver.core.is_leading());
    driver.store_responds = true;
    driver.run(Duration::from_millis(500));
    assert!(driver.grants.is_empty());
}

/// The record in the copy may lack moves of a leader that nobody remembers.
#[test]
fn nothing_is_granted_from_a_restored_record_while_lost_grants_may_be_valid() {
    let mut driver = Driver::new("gw-0", 1);
    let view = restored_view(Some(record_of_other_leader(true)));
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[])));
    driver.feed(OwnershipEvent::StoreUpdated(view));
    driver.run(leadership::INCUMBENT_GRACE - Duration::from_millis(100));
    assert!(
        driver.commits.is_empty(),
        "the former leader may claim first"
    );
    driver.run(leadership::AUTHORITY_TTL - leadership::INCUMBENT_GRACE);
    assert!(driver.core.is_leading());
    driver.run(Duration::from_secs(3));
    assert!(driver.grants.is_empty());
    driver.run(Duration::from_secs(4));
    assert!(!driver.grants.is_empty());
    assert!(driver.grants.iter().all(|grant| grant.fence >= 1 << 32));
}

#[test]
fn a_leader_of_an_earlier_era_yields_to_one_of_the_present_era() {
    let mut driver = leader_before_restoration();
    let position = StorePosition {
        era: 2,
        revision: 1,
    };
    driver.feed(OwnershipEvent::Superseded { position });
    assert!(!driver.core.is_leading());
}

/// A move that was in progress when the copy was made may have been followed by others.
#[test]
fn fencing_tokens_of_moves_in_progress_are_raised_in_a_new_era() {
    let mut record = record_of_other_leader(true);
    let former = record::FormerOwner {
        key: candidate(1, false).info.key,
        fence: 1,
    };
    record.assignments[0].former_owners.push(former);
    let mut driver = Driver::new("gw-0", 1);
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[])));
    driver.feed(OwnershipEvent::StoreUpdated(restored_view(Some(record))));
    driver.run(Duration::from_secs(30));
    assert!(driver.grants.iter().any(|grant| grant.range.first == 0));
    assert!(driver.grants.iter().all(|grant| grant.fence >= 1 << 32));
}

/// The leader that waited for lost grants to expire may itself be replaced meanwhile.
#[test]
fn the_successor_of_a_waiting_leader_waits_too() {
    let mut waiting = Driver::new("gw-1", 1);
    waiting.feed(OwnershipEvent::CandidatesUpdated(candidates(&[])));
    let view = restored_view(Some(record_of_other_leader(true)));
    waiting.feed(OwnershipEvent::StoreUpdated(view));
    waiting.run(leadership::INCUMBENT_GRACE + Duration::from_secs(1));
    assert!(waiting.core.is_leading() && waiting.grants.is_empty());
    let mut driver = Driver::new("gw-0", 1);
    let view = restored_view(Some(waiting.last_record().clone()));
    driver.feed(OwnershipEvent::CandidatesUpdated(candidates(&[])));
    driver.feed(OwnershipEvent::StoreUpdated(view));
    driver.run(leadership::AUTHORITY_TTL);
    assert!(driver.core.is_leading());
    assert!(driver.grants.is_empty());
    driver.run(Duration::from_secs(10));
    assert!(!driver.grants.is_empty());
    let record = driver.last_record();
    assert!(!record.lacks_moves, "the next leader need not wait");
}
