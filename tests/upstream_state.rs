//! Tests of what a controller concludes about an upstream from its renewers' reports.

use godwitloom::{grant, holder, ids, range, record, renewer, upstream_state};
use std::time::Duration;

const TERM: u32 = 3;
const NOW: Duration = Duration::from_secs(100);

fn instance(name: &str) -> record::PeerInfo {
    record::PeerInfo {
        key: ids::InstanceKey::derive(name, 0),
        id: name.to_owned(),
        zone: "z0".to_owned(),
        control: "127.0.0.1:1000".parse().expect("valid address"),
    }
}

fn upstream_with(check: holder::FenceCheck, renewers: &[&str]) -> upstream_state::UpstreamState {
    let spec = upstream_state::UpstreamSpec {
        key: ids::UpstreamKey(7),
        zone: "z1".to_owned(),
        grant_address: "127.0.0.1:2000".parse().expect("valid address"),
        check,
        leaving: false,
    };
    upstream_state::UpstreamState::new(spec, renewers.iter().map(|name| instance(name)).collect())
}

fn grant_set(term: u32, counter: u32, renewers: &[&str]) -> grant::GrantSet {
    grant::GrantSet {
        generation: grant::GrantGeneration { term, counter },
        incarnation: 1,
        renewers: renewers.iter().map(|name| instance(name).key).collect(),
        ranges: range::KeyRange::split_space(1),
    }
}

/// Report of a renewer that receives heartbeats of the upstream, which holds `set`.
fn report(set: grant::GrantSet) -> renewer::RenewerReport {
    renewer::RenewerReport {
        service: ids::ServiceKey(1),
        upstream: ids::UpstreamKey(7),
        term: TERM,
        revoked_up_to: grant::GrantGeneration::default(),
        renewed_ago: Some(Duration::from_millis(10)),
        silence: Duration::from_millis(10),
        heartbeat: Some(renewer::HeartbeatSummary {
            incarnation: 1,
            accepted: set.generation,
            settled: false,
            releasing: false,
            leaving: false,
            missing_renewer: None,
        }),
        set,
    }
}

/// Report of a renewer that has received no heartbeat for the silence timeout.
fn silent_report(set: grant::GrantSet) -> renewer::RenewerReport {
    renewer::RenewerReport {
        silence: grant::SILENCE_TIMEOUT,
        ..report(set)
    }
}

#[test]
fn report_of_a_renewer_confirms_the_held_set() {
    let mut state = upstream_with(holder::FenceCheck::Enforced, &["k1", "k2"]);
    let held = grant_set(2, 9, &["k1", "k2"]);
    state.on_report(NOW, instance("k1").key, report(held.clone()));
    let discovery = state.discover(TERM, &upstream_state::EndedRuns::new());
    assert!(matches!(discovery, Some(upstream_state::Discovery::Holds(set)) if set == held));
}

#[test]
fn report_of_an_instance_that_is_no_renewer_confirms_nothing() {
    let mut state = upstream_with(holder::FenceCheck::Enforced, &["k1", "k2"]);
    state.on_report(
        NOW,
        instance("other").key,
        report(grant_set(2, 9, &["k1", "k2"])),
    );
    let ended_runs = [("k1", NOW), ("k2", NOW)];
    let ended_runs = ended_runs.map(|(name, at)| (instance(name).key, at)).into();
    let discovery = state.discover(TERM, &ended_runs);
    assert!(
        matches!(discovery, Some(upstream_state::Discovery::Unconfirmed(_))),
        "{discovery:?}"
    );
}

#[test]
fn report_of_a_revoked_set_confirms_nothing() {
    let mut state = upstream_with(holder::FenceCheck::Enforced, &["k1"]);
    let held = grant_set(2, 9, &["k1"]);
    let revoked = renewer::RenewerReport {
        revoked_up_to: held.generation,
        ..report(held)
    };
    state.on_report(NOW, instance("k1").key, revoked);
    let discovery = state.discover(TERM, &upstream_state::EndedRuns::new());
    assert!(
        matches!(discovery, Some(upstream_state::Discovery::Unconfirmed(_))),
        "{discovery:?}"
    );
}

#[test]
fn without_fence_check_grants_of_an_ended_renewer_must_expire_first() {
    let mut state = upstream_with(holder::FenceCheck::Absent, &["k1", "k2"]);
    let held = grant_set(TERM, 9, &["k1"]);
    state.order(held.clone());
    state.phase = upstream_state::UpstreamPhase::Live;
    state.on_report(NOW, instance("k1").key, report(held));
    let later = NOW + grant::expiry_bound();
    let no_ended_runs = upstream_state::EndedRuns::new();
    assert!(
        !state.holds_only_ordered(later, TERM, &no_ended_runs),
        "k2 may still renew"
    );
    let ended_runs = [(instance("k2").key, NOW)].into();
    assert!(!state.holds_only_ordered(later - Duration::from_millis(1), TERM, &ended_runs));
    assert!(state.holds_only_ordered(later, TERM, &ended_runs));
}

#[test]
fn without_fence_check_a_settled_heartbeat_excludes_older_sets() {
    let mut state = upstream_with(holder::FenceCheck::Absent, &["k1", "k2"]);
    let held = grant_set(TERM, 9, &["k1"]);
    state.order(held.clone());
    state.phase = upstream_state::UpstreamPhase::Live;
    let mut settled = report(held);
    settled
        .heartbeat
        .as_mut()
        .expect("report has a heartbeat")
        .settled = true;
    state.on_report(NOW, instance("k1").key, settled.clone());
    let no_ended_runs = upstream_state::EndedRuns::new();
    assert!(state.holds_only_ordered(NOW, TERM, &no_ended_runs));
    state.order(grant_set(TERM, 10, &["k1"]));
    assert!(
        !state.holds_only_ordered(NOW, TERM, &no_ended_runs),
        "the settled heartbeat reported an older set"
    );
}

#[test]
fn renewers_that_disagree_about_silence_cause_no_flood_of_orders() {
    let mut state = upstream_with(holder::FenceCheck::Enforced, &["k1", "k2"]);
    let mut orders = 0;
    for millis in 0..1000 {
        let now = NOW + Duration::from_millis(millis);
        let held = grant_set(2, 9, &["k1", "k2"]);
        state.on_report(now, instance("k1").key, report(held.clone()));
        state.on_report(now, instance("k2").key, silent_report(held));
        orders += state.due_orders(now, TERM, ids::ServiceKey(1)).len();
    }
    // Each of two renewers gets at most one order per retry interval of 50 ms.
    assert!(orders <= 40, "{orders} orders in a second");
}
