//! Tests of the control cores: chosen failures of upstreams, instances and the metadata
//! store, in a simulation.

use godwitloom::holder;
use godwitloom_standins::control_simulation::{
    ControlSimulation, Process, SimulationOptions, StoreMode,
};
use std::time::Duration;

/// Simulated time in which every range gets its first owner.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Longest allowed time without an owner after a failure.
const MAX_FAILOVER_GAP: Duration = Duration::from_millis(1000);

/// Longest allowed time without an owner during a planned move of a range.
const MAX_MOVE_GAP: Duration = Duration::from_millis(100);

/// Returns a simulation in which every range has an owner.
fn started(options: SimulationOptions) -> ControlSimulation {
    let mut simulation = ControlSimulation::new(options);
    simulation.run(STARTUP_TIME);
    simulation.clear_gaps();
    simulation.run(Duration::from_secs(1));
    assert_eq!(
        simulation.longest_gap(),
        Duration::ZERO,
        "every range must have an owner after the startup time"
    );
    simulation
}

fn assert_short_gap(simulation: &ControlSimulation) {
    let gap = simulation.longest_gap();
    assert!(gap <= MAX_FAILOVER_GAP, "gap {gap:?}");
}

fn assert_no_overlaps(simulation: &ControlSimulation) {
    assert_eq!(simulation.overlaps, [], "two upstreams owned one key");
}

#[test]
fn every_range_gets_an_owner() {
    let simulation = started(SimulationOptions::default());
    assert_no_overlaps(&simulation);
}

#[test]
fn killed_upstream_is_replaced_within_a_second() {
    for seed in 0..10 {
        let mut simulation = started(SimulationOptions {
            seed,
            ..SimulationOptions::default()
        });
        simulation.kill(Process::Upstream(1));
        simulation.run(Duration::from_secs(3));
        assert_short_gap(&simulation);
        assert_no_overlaps(&simulation);
    }
}

#[test]
fn killed_upstream_is_replaced_during_a_store_outage() {
    for seed in 0..10 {
        let mut simulation = started(SimulationOptions {
            seed,
            ..SimulationOptions::default()
        });
        simulation.set_store_mode(StoreMode::Down);
        simulation.run(Duration::from_secs(60));
        simulation.kill(Process::Upstream(2));
        simulation.run(Duration::from_secs(3));
        assert_short_gap(&simulation);
        assert_no_overlaps(&simulation);
    }
}

#[test]
fn loss_of_any_instance_leaves_no_gap() {
    for index in 0..5 {
        let mut simulation = started(SimulationOptions::default());
        simulation.kill(Process::Instance(index));
        simulation.run(Duration::from_secs(10));
        assert_eq!(simulation.longest_gap(), Duration::ZERO, "instance {index}");
        assert_no_overlaps(&simulation);
    }
}

#[test]
fn loss_of_any_instance_during_a_store_outage_leaves_no_gap() {
    for index in 0..5 {
        let mut simulation = started(SimulationOptions::default());
        simulation.set_store_mode(StoreMode::Down);
        simulation.kill(Process::Instance(index));
        simulation.run(Duration::from_secs(30));
        assert_eq!(simulation.longest_gap(), Duration::ZERO, "instance {index}");
        assert_no_overlaps(&simulation);
    }
}

#[test]
fn suspended_upstream_never_owns_a_key_with_its_successor() {
    for suspended_ms in [300, 450, 700, 5000] {
        let mut simulation = started(SimulationOptions::default());
        simulation.suspend(Process::Upstream(0));
        simulation.run(Duration::from_millis(suspended_ms));
        simulation.resume(Process::Upstream(0));
        simulation.run(Duration::from_secs(3));
        assert_short_gap(&simulation);
        assert_no_overlaps(&simulation);
    }
}

#[test]
fn killed_controller_is_replaced() {
    let mut simulation = started(SimulationOptions::default());
    let controller = simulation.controller().expect("a controller is elected");
    simulation.kill(Process::Instance(controller));
    simulation.run(Duration::from_secs(3));
    assert_ne!(simulation.controller(), Some(controller));
    simulation.kill(Process::Upstream(3));
    simulation.run(Duration::from_secs(3));
    assert_short_gap(&simulation);
    assert_no_overlaps(&simulation);
}

#[test]
fn suspended_controller_changes_nothing_when_it_resumes() {
    let mut simulation = started(SimulationOptions::default());
    let controller = simulation.controller().expect("a controller is elected");
    simulation.suspend(Process::Instance(controller));
    simulation.run(Duration::from_secs(3));
    simulation.kill(Process::Upstream(4));
    simulation.run(Duration::from_secs(2));
    simulation.resume(Process::Instance(controller));
    simulation.run(Duration::from_secs(3));
    assert_short_gap(&simulation);
    assert_no_overlaps(&simulation);
}

#[test]
fn resumed_former_renewer_grants_nothing_to_a_restarted_upstream() {
    let mut simulation = started(SimulationOptions::default());
    let controller = simulation.controller().expect("a controller is elected");
    let renewers = simulation.renewers(0);
    let renewer = renewers.into_iter().find(|index| *index != controller);
    let renewer = renewer.expect("a renewer besides the controller");
    simulation.suspend(Process::Instance(renewer));
    for other in (0..5).filter(|index| *index != renewer) {
        simulation.partition(Process::Instance(other), Process::Instance(renewer));
    }
    simulation.run(Duration::from_secs(5));
    assert!(
        !simulation.renewers(0).contains(&renewer),
        "another instance must have replaced the renewer"
    );
    simulation.kill(Process::Upstream(0));
    simulation.run(Duration::from_secs(2));
    for other in (0..5).filter(|index| *index != renewer) {
        simulation.partition(Process::Instance(other), Process::Upstream(0));
    }
    simulation.restart(Process::Upstream(0));
    simulation.resume(Process::Instance(renewer));
    simulation.run(Duration::from_secs(3));
    assert_no_overlaps(&simulation);
}

#[test]
fn simultaneous_restart_of_all_instances_recovers() {
    let mut simulation = started(SimulationOptions::default());
    for index in 0..5 {
        simulation.restart(Process::Instance(index));
    }
    simulation.run(Duration::from_secs(6));
    simulation.clear_gaps();
    simulation.run(Duration::from_secs(1));
    assert_eq!(simulation.longest_gap(), Duration::ZERO);
    assert_no_overlaps(&simulation);
}

#[test]
fn renewer_lost_during_a_store_outage_does_not_block_a_later_failover() {
    let mut simulation = started(SimulationOptions::default());
    let controller = simulation.controller().expect("a controller is elected");
    simulation.set_store_mode(StoreMode::Down);
    let renewers = simulation.renewers(0);
    let renewer = renewers.into_iter().find(|index| *index != controller);
    simulation.kill(Process::Instance(
        renewer.expect("a renewer besides the controller"),
    ));
    simulation.run(Duration::from_secs(5));
    simulation.kill(Process::Upstream(0));
    simulation.run(Duration::from_secs(3));
    assert_short_gap(&simulation);
    assert_no_overlaps(&simulation);
}

#[test]
fn leaving_upstream_drains_with_a_short_gap() {
    let mut simulation = started(SimulationOptions::default());
    simulation.set_leaving(2, true);
    simulation.run(Duration::from_secs(3));
    assert!(simulation.drained(2));
    assert!(
        simulation.longest_gap() <= Duration::from_millis(500),
        "gap {:?}",
        simulation.longest_gap()
    );
    assert_no_overlaps(&simulation);
}

#[test]
fn remaining_upstreams_share_the_ranges_of_a_killed_one() {
    for seed in 0..10 {
        let mut simulation = started(SimulationOptions {
            seed,
            ranges_per_upstream: 4,
            ..SimulationOptions::default()
        });
        simulation.kill(Process::Upstream(1));
        simulation.run(Duration::from_secs(15));
        let mut range_counts = simulation.held_ranges();
        range_counts.remove(1);
        let (most, fewest) = (range_counts.iter().max(), range_counts.iter().min());
        let spread = most.zip(fewest).map(|(most, fewest)| most - fewest);
        assert!(
            spread <= Some(1),
            "{range_counts:?}\n{}",
            simulation.describe()
        );
        assert_no_overlaps(&simulation);
    }
}

#[test]
fn restarted_upstream_gets_its_share_of_ranges_again() {
    let mut simulation = started(SimulationOptions::default());
    simulation.kill(Process::Upstream(1));
    simulation.run(Duration::from_secs(3));
    simulation.restart(Process::Upstream(1));
    simulation.run(Duration::from_secs(2));
    simulation.clear_gaps();
    simulation.run(Duration::from_secs(10));
    assert_eq!(
        simulation.held_ranges(),
        [2; 6],
        "{}",
        simulation.describe()
    );
    let gap = simulation.longest_gap();
    assert!(
        gap <= MAX_MOVE_GAP,
        "a planned move left a key without an owner for {gap:?}"
    );
    assert_no_overlaps(&simulation);
}

#[test]
fn lost_responses_to_writes_do_not_hinder_failover() {
    let mut simulation = started(SimulationOptions::default());
    simulation.set_store_mode(StoreMode::LosesResponses);
    simulation.kill(Process::Upstream(1));
    simulation.run(Duration::from_secs(3));
    simulation.kill(Process::Upstream(2));
    simulation.run(Duration::from_secs(3));
    assert_short_gap(&simulation);
    assert_no_overlaps(&simulation);
}

#[test]
fn killed_renewer_is_replaced_within_three_seconds_among_many_instances() {
    let mut simulation = started(SimulationOptions {
        instances: 60,
        ..SimulationOptions::default()
    });
    let controller = simulation.controller().expect("a controller is elected");
    let renewers = simulation.renewers(0);
    let killed = renewers.into_iter().find(|index| *index != controller);
    let killed = killed.expect("a renewer besides the controller");
    simulation.kill(Process::Instance(killed));
    simulation.run(Duration::from_secs(3));
    let renewers = simulation.renewers(0);
    assert!(
        !renewers.contains(&killed) && renewers.len() == 2,
        "{renewers:?}"
    );
    assert_eq!(simulation.longest_gap(), Duration::ZERO);
    assert_no_overlaps(&simulation);
}

fn without_fence_check() -> SimulationOptions {
    SimulationOptions {
        check: holder::FenceCheck::Absent,
        ..SimulationOptions::default()
    }
}

#[test]
fn without_fence_check_a_killed_upstream_is_replaced_within_a_second() {
    for seed in 0..10 {
        let mut simulation = started(SimulationOptions {
            seed,
            ..without_fence_check()
        });
        simulation.kill(Process::Upstream(0));
        simulation.run(Duration::from_secs(3));
        assert_short_gap(&simulation);
        assert_no_overlaps(&simulation);
    }
}

#[test]
fn without_fence_check_failover_waits_for_a_suspended_renewer_and_no_longer() {
    let mut simulation = started(without_fence_check());
    let controller = simulation.controller().expect("a controller is elected");
    simulation.suspend(Process::Instance(controller));
    simulation.run(Duration::from_secs(4));
    simulation.kill(Process::Upstream(0));
    simulation.run(Duration::from_secs(2));
    simulation.resume(Process::Instance(controller));
    simulation.run(Duration::from_secs(1));
    simulation.clear_gaps();
    simulation.run(Duration::from_secs(4));
    assert_eq!(
        simulation.longest_gap(),
        Duration::ZERO,
        "{}",
        simulation.describe()
    );
    assert_no_overlaps(&simulation);
}

#[test]
fn without_fence_check_a_resumed_controller_causes_no_overlap() {
    let options = SimulationOptions {
        check: holder::FenceCheck::Absent,
        ..SimulationOptions::default()
    };
    let mut simulation = started(options);
    let controller = simulation.controller().expect("a controller is elected");
    simulation.suspend(Process::Instance(controller));
    simulation.run(Duration::from_secs(4));
    simulation.kill(Process::Upstream(0));
    simulation.run(Duration::from_secs(2));
    simulation.resume(Process::Instance(controller));
    simulation.run(Duration::from_secs(5));
    assert_short_gap(&simulation);
    assert_no_overlaps(&simulation);
}
