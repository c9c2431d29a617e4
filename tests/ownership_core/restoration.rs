//! Leadership across a restoration of the store.

use super::driver::{Driver, candidate, candidates, record_of_other_leader};
use godwitloom::ownership::interface::{GrantCommand, OwnershipEvent, StoreView};
use godwitloom::ownership::{leadership, record};
use godwitloom::store::StorePosition;
use std::time::Duration;

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
