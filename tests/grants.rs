//! Tests of one upstream's grants, at the upstream that holds them and at the instance
//! that renews them.

use godwitloom::{grant, holder, ids, range, renewer};
use std::net::SocketAddr;
use std::time::Duration;

const START: Duration = Duration::from_secs(100);
const MILLI: Duration = Duration::from_millis(1);
const UPSTREAM: ids::UpstreamKey = ids::UpstreamKey(7);
const SERVICE: ids::ServiceKey = ids::ServiceKey(1);
const RENEWER: ids::InstanceKey = ids::InstanceKey(11);
const HASH: range::KeyHash = range::KeyHash(5);

fn generation(term: u32, counter: u32) -> grant::GrantGeneration {
    grant::GrantGeneration { term, counter }
}

fn grant_set(term: u32, counter: u32) -> grant::GrantSet {
    grant::GrantSet {
        generation: generation(term, counter),
        incarnation: 1,
        renewers: [RENEWER].into_iter().collect(),
        ranges: range::KeyRange::split_space(1),
    }
}

/// An upstream that accepted a grant as the answer to its first heartbeat.
fn granted_upstream() -> holder::HolderState {
    let mut state = holder::HolderState::new(UPSTREAM, 1, holder::FenceCheck::Enforced);
    let heartbeat = state.heartbeat(START);
    let order = holder::GrantOrder {
        seq: heartbeat.seq,
        set: grant_set(1, 1),
    };
    state.on_grant(START + MILLI, order);
    assert!(state.owns(START + MILLI, HASH));
    state
}

fn renewal(seq: u64, generation: grant::GrantGeneration) -> holder::Renewal {
    holder::Renewal { seq, generation }
}

#[test]
fn grant_expires_one_ttl_after_the_answered_heartbeat() {
    let state = granted_upstream();
    assert!(state.owns(START + grant::GRANT_TTL - MILLI, HASH));
    assert!(!state.owns(START + grant::GRANT_TTL, HASH));
}

#[test]
fn renewal_delayed_by_a_suspension_extends_nothing() {
    let mut state = granted_upstream();
    let heartbeat = state.heartbeat(START + MILLI * 200);
    let resumed = START + Duration::from_secs(5);
    state.heartbeat(resumed);
    state.on_renewal(RENEWER, renewal(heartbeat.seq, generation(1, 1)));
    assert!(!state.owns(resumed, HASH));
}

#[test]
fn renewal_of_another_set_extends_nothing() {
    let mut state = granted_upstream();
    let heartbeat = state.heartbeat(START + MILLI * 500);
    state.on_renewal(RENEWER, renewal(heartbeat.seq, generation(1, 2)));
    assert!(!state.owns(START + grant::GRANT_TTL, HASH));
}

#[test]
fn renewal_of_an_unlisted_renewer_extends_nothing() {
    let mut state = granted_upstream();
    let heartbeat = state.heartbeat(START + MILLI * 500);
    let other = ids::InstanceKey(12);
    state.on_renewal(other, renewal(heartbeat.seq, generation(1, 1)));
    assert!(!state.owns(START + grant::GRANT_TTL, HASH));
}

#[test]
fn set_for_an_earlier_run_is_refused() {
    for check in [holder::FenceCheck::Enforced, holder::FenceCheck::Absent] {
        let mut state = holder::HolderState::new(UPSTREAM, 2, check);
        let heartbeat = state.heartbeat(START);
        let order = holder::GrantOrder {
            seq: heartbeat.seq,
            set: grant_set(1, 1),
        };
        state.on_grant(START + MILLI, order);
        assert!(!state.owns(START + MILLI, HASH));
    }
}

#[test]
fn older_set_is_refused() {
    let mut state = granted_upstream();
    let heartbeat = state.heartbeat(START + MILLI);
    let empty = grant::GrantSet {
        ranges: Vec::new(),
        ..grant_set(2, 1)
    };
    let order = |set| holder::GrantOrder {
        seq: heartbeat.seq,
        set,
    };
    state.on_grant(START + MILLI, order(empty));
    state.on_grant(START + MILLI, order(grant_set(1, 9)));
    assert!(!state.owns(START + MILLI, HASH));
}

#[test]
fn set_is_acknowledged_only_once_work_outside_it_has_ended() {
    let mut state = granted_upstream();
    let work = state.begin(START + MILLI, HASH).expect("owned");
    let heartbeat = state.heartbeat(START + MILLI);
    let empty = grant::GrantSet {
        ranges: Vec::new(),
        ..grant_set(1, 2)
    };
    let order = holder::GrantOrder {
        seq: heartbeat.seq,
        set: empty,
    };
    state.on_grant(START + MILLI, order);
    assert!(state.begin(START + MILLI, HASH).is_none(), "no new work");
    assert!(state.heartbeat(START + MILLI * 2).releasing);
    state.finish(work);
    assert!(!state.heartbeat(START + MILLI * 3).releasing);
}

#[test]
fn set_is_settled_once_no_earlier_heartbeat_can_be_answered() {
    let mut state = granted_upstream();
    let heartbeat = state.heartbeat(START + MILLI);
    let accepted = START + MILLI * 2;
    let order = holder::GrantOrder {
        seq: heartbeat.seq,
        set: grant_set(1, 2),
    };
    state.on_grant(accepted, order);
    let settled = accepted + grant::GRANT_TTL;
    assert!(!state.heartbeat(settled - MILLI).settled);
    assert!(state.heartbeat(settled).settled);
}

#[test]
fn expiry_bound_covers_a_clock_that_runs_slow_by_a_thousandth() {
    let slow = grant::GRANT_TTL + grant::GRANT_TTL / 1000;
    assert!(grant::expiry_bound() >= slow);
}

fn order(term: u32, set: Option<grant::GrantSet>) -> renewer::RenewerOrder {
    renewer::RenewerOrder {
        service: SERVICE,
        upstream: UPSTREAM,
        address: address(2000),
        term,
        set,
        revoke: None,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Gives the renewer an order; returns its actions.
fn send_order(
    table: &mut renewer::RenewerTable,
    order: renewer::RenewerOrder,
) -> Vec<renewer::RenewerAction> {
    let controller = address(1000);
    table.step(START, renewer::RenewerEvent::Order { controller, order })
}

/// Gives the renewer a heartbeat of an upstream that holds `accepted`; returns whether
/// the renewer answers it.
fn answers_heartbeat(table: &mut renewer::RenewerTable, accepted: grant::GrantGeneration) -> bool {
    answers_heartbeat_of_run(table, accepted, 1)
}

fn answers_heartbeat_of_run(
    table: &mut renewer::RenewerTable,
    accepted: grant::GrantGeneration,
    incarnation: u64,
) -> bool {
    let heartbeat = holder::Heartbeat {
        upstream: UPSTREAM,
        incarnation,
        seq: 1,
        accepted,
        settled: false,
        releasing: false,
        leaving: false,
        missing_renewer: None,
    };
    let actions = table.step(START, renewer::RenewerEvent::Heartbeat(heartbeat));
    let is_answer =
        |action: &renewer::RenewerAction| !matches!(action, renewer::RenewerAction::Report { .. });
    actions.iter().any(is_answer)
}

#[test]
fn renewer_refuses_orders_of_a_lower_term() {
    let mut table = renewer::RenewerTable::new(RENEWER);
    send_order(&mut table, order(3, None));
    let actions = send_order(&mut table, order(2, Some(grant_set(2, 1))));
    assert!(!answers_heartbeat(&mut table, generation(0, 0)));
    let reported = actions.iter().any(
        |action| matches!(action, renewer::RenewerAction::Report { report, .. } if report.term == 3),
    );
    assert!(reported, "the former controller is told of the higher term");
}

#[test]
fn renewer_that_dropped_an_idle_upstream_refuses_lower_terms() {
    let mut table = renewer::RenewerTable::new(RENEWER);
    send_order(&mut table, order(3, None));
    let later = START + Duration::from_secs(3600);
    table.step(later, renewer::RenewerEvent::Tick);
    send_order(&mut table, order(2, Some(grant_set(2, 1))));
    assert!(!answers_heartbeat(&mut table, generation(0, 0)));
}

#[test]
fn renewer_leaves_a_new_run_of_the_upstream_to_the_controller() {
    let mut table = renewer::RenewerTable::new(RENEWER);
    send_order(&mut table, order(1, Some(grant_set(1, 1))));
    assert!(!answers_heartbeat_of_run(&mut table, generation(0, 0), 2));
    assert!(answers_heartbeat_of_run(&mut table, generation(0, 0), 1));
}

#[test]
fn renewer_renews_only_sets_newer_than_a_revoked_one() {
    let mut table = renewer::RenewerTable::new(RENEWER);
    send_order(&mut table, order(1, Some(grant_set(1, 1))));
    assert!(answers_heartbeat(&mut table, generation(1, 1)));
    let revocation = renewer::RenewerOrder {
        revoke: Some(generation(1, 2)),
        ..order(1, None)
    };
    send_order(&mut table, revocation);
    assert!(!answers_heartbeat(&mut table, generation(1, 1)));
    send_order(&mut table, order(1, Some(grant_set(1, 2))));
    assert!(
        !answers_heartbeat(&mut table, generation(1, 1)),
        "a delayed set stays revoked"
    );
    send_order(&mut table, order(1, Some(grant_set(1, 3))));
    assert!(answers_heartbeat(&mut table, generation(1, 1)));
}
