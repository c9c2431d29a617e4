//! What a controller may conclude from keepers' reports.

use godwitloom::{grant, holder, ids, range, record, renewer, upstream_state};
use std::time::Duration;

const TERM: u32 = 3;
const NOW: Duration = Duration::from_secs(100);

fn instance(name: &str) -> record::PeerInfo {
    record::PeerInfo {
        key: ids::InstanceKey::derive(name, 0),
        id: name.to_owned(),
        zone: "z0".to_owned(),
        control: "127.0.0.1:1000".parse().expect("an address"),
    }
}

fn server_with(check: holder::FenceCheck, renewers: &[&str]) -> upstream_state::UpstreamState {
    let plan = upstream_state::UpstreamSpec {
        key: ids::UpstreamKey(7),
        zone: "z1".to_owned(),
        grant_address: "127.0.0.1:2000".parse().expect("an address"),
        check,
        leaving: false,
    };
    upstream_state::UpstreamState::new(plan, renewers.iter().map(|name| instance(name)).collect())
}

fn set(term: u32, counter: u32, keepers: &[&str]) -> grant::GrantSet {
    grant::GrantSet {
        generation: grant::GrantGeneration { term, counter },
        incarnation: 1,
        renewers: keepers.iter().map(|name| instance(name).key).collect(),
        ranges: range::KeyRange::split_space(1),
    }
}

/// Report of a keeper that hears the server, which holds `set`.
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

fn silent(set: grant::GrantSet) -> renewer::RenewerReport {
    renewer::RenewerReport {
        silence: grant::SILENCE_TIMEOUT,
        ..report(set)
    }
}

#[test]
fn keeper_that_renews_shows_what_the_server_holds() {
    let mut state = server_with(holder::FenceCheck::Enforced, &["k1", "k2"]);
    let held = set(2, 9, &["k1", "k2"]);
    state.on_report(NOW, instance("k1").key, report(held.clone()));
    let found = state.discover(TERM, &upstream_state::EndedRuns::new());
    assert!(matches!(found, Some(upstream_state::Discovery::Holds(set)) if set == held));
}

#[test]
fn instance_that_is_no_keeper_shows_nothing() {
    let mut state = server_with(holder::FenceCheck::Enforced, &["k1", "k2"]);
    state.on_report(NOW, instance("other").key, report(set(2, 9, &["k1", "k2"])));
    let gone = [("k1", NOW), ("k2", NOW)];
    let gone = gone.map(|(name, at)| (instance(name).key, at)).into();
    let found = state.discover(TERM, &gone);
    assert!(
        matches!(found, Some(upstream_state::Discovery::Unconfirmed(_))),
        "{found:?}"
    );
}

#[test]
fn sealed_keeper_shows_nothing() {
    let mut state = server_with(holder::FenceCheck::Enforced, &["k1"]);
    let held = set(2, 9, &["k1"]);
    let sealed = renewer::RenewerReport {
        revoked_up_to: held.generation,
        ..report(held)
    };
    state.on_report(NOW, instance("k1").key, sealed);
    let found = state.discover(TERM, &upstream_state::EndedRuns::new());
    assert!(
        matches!(found, Some(upstream_state::Discovery::Unconfirmed(_))),
        "{found:?}"
    );
}

#[test]
fn unchecked_server_is_confined_once_a_lost_keepers_orders_expired() {
    let mut state = server_with(holder::FenceCheck::Absent, &["k1", "k2"]);
    let held = set(TERM, 9, &["k1"]);
    state.order(held.clone());
    state.phase = upstream_state::UpstreamPhase::Live;
    state.on_report(NOW, instance("k1").key, report(held));
    let later = NOW + grant::expiry_bound();
    let nobody = upstream_state::EndedRuns::new();
    assert!(
        !state.holds_only_ordered(later, TERM, &nobody),
        "k2 may still renew"
    );
    let gone = [(instance("k2").key, NOW)].into();
    assert!(!state.holds_only_ordered(later - Duration::from_millis(1), TERM, &gone));
    assert!(state.holds_only_ordered(later, TERM, &gone));
}

#[test]
fn unchecked_server_is_confined_once_no_older_order_counts() {
    let mut state = server_with(holder::FenceCheck::Absent, &["k1", "k2"]);
    let held = set(TERM, 9, &["k1"]);
    state.order(held.clone());
    state.phase = upstream_state::UpstreamPhase::Live;
    let mut news = report(held);
    news.heartbeat.as_mut().expect("a server").settled = true;
    state.on_report(NOW, instance("k1").key, news.clone());
    let nobody = upstream_state::EndedRuns::new();
    assert!(state.holds_only_ordered(NOW, TERM, &nobody));
    state.order(set(TERM, 10, &["k1"]));
    assert!(
        !state.holds_only_ordered(NOW, TERM, &nobody),
        "an older set settled"
    );
}

#[test]
fn keepers_that_disagree_cause_no_storm_of_orders() {
    let mut state = server_with(holder::FenceCheck::Enforced, &["k1", "k2"]);
    let mut orders = 0;
    for millis in 0..1000 {
        let now = NOW + Duration::from_millis(millis);
        let held = set(2, 9, &["k1", "k2"]);
        state.on_report(now, instance("k1").key, report(held.clone()));
        state.on_report(now, instance("k2").key, silent(held));
        orders += state.due_orders(now, TERM, ids::ServiceKey(1)).len();
    }
    assert!(orders <= 40, "{orders} orders in a second");
}
