//! Focused failures of servers, instances and the platform's service.

use godwitloom::holder;
use godwitloom_standins::control_simulation::{
    ControlSimulation, Process, SimulationOptions, StoreMode,
};
use std::time::Duration;

const SETTLE: Duration = Duration::from_secs(4);
const SERVED_AGAIN: Duration = Duration::from_millis(1000);

/// Longest time without an owner while a range is moved as planned.
const MOVE_GAP: Duration = Duration::from_millis(100);

fn settled(options: SimulationOptions) -> ControlSimulation {
    let mut world = ControlSimulation::new(options);
    world.run(SETTLE);
    world.clear_gaps();
    world.run(Duration::from_secs(1));
    assert_eq!(world.longest_gap(), Duration::ZERO, "no settled start");
    world
}

fn assert_served_again(world: &ControlSimulation) {
    let gap = world.longest_gap();
    assert!(gap <= SERVED_AGAIN, "gap {gap:?}");
}

fn assert_safe(world: &ControlSimulation) {
    assert_eq!(world.overlaps, [], "two servers owned one key");
}

#[test]
fn every_range_gets_an_owner() {
    let world = settled(SimulationOptions::default());
    assert_safe(&world);
}

#[test]
fn killed_server_is_replaced_within_a_second() {
    for seed in 0..10 {
        let mut world = settled(SimulationOptions {
            seed,
            ..SimulationOptions::default()
        });
        world.kill(Process::Upstream(1));
        world.run(Duration::from_secs(3));
        assert_served_again(&world);
        assert_safe(&world);
    }
}

#[test]
fn killed_server_is_replaced_without_the_platform() {
    for seed in 0..10 {
        let mut world = settled(SimulationOptions {
            seed,
            ..SimulationOptions::default()
        });
        world.set_store_mode(StoreMode::Down);
        world.run(Duration::from_secs(60));
        world.kill(Process::Upstream(2));
        world.run(Duration::from_secs(3));
        assert_served_again(&world);
        assert_safe(&world);
    }
}

#[test]
fn loss_of_any_instance_leaves_no_gap() {
    for index in 0..5 {
        let mut world = settled(SimulationOptions::default());
        world.kill(Process::Instance(index));
        world.run(Duration::from_secs(10));
        assert_eq!(world.longest_gap(), Duration::ZERO, "instance {index}");
        assert_safe(&world);
    }
}

#[test]
fn loss_of_any_instance_without_the_platform_leaves_no_gap() {
    for index in 0..5 {
        let mut world = settled(SimulationOptions::default());
        world.set_store_mode(StoreMode::Down);
        world.kill(Process::Instance(index));
        world.run(Duration::from_secs(30));
        assert_eq!(world.longest_gap(), Duration::ZERO, "instance {index}");
        assert_safe(&world);
    }
}

#[test]
fn frozen_server_never_owns_with_its_successor() {
    for frozen_ms in [300, 450, 700, 5000] {
        let mut world = settled(SimulationOptions::default());
        world.suspend(Process::Upstream(0));
        world.run(Duration::from_millis(frozen_ms));
        world.resume(Process::Upstream(0));
        world.run(Duration::from_secs(3));
        assert_served_again(&world);
        assert_safe(&world);
    }
}

#[test]
fn killed_controller_is_succeeded() {
    let mut world = settled(SimulationOptions::default());
    let controller = world.controller().expect("a controller");
    world.kill(Process::Instance(controller));
    world.run(Duration::from_secs(3));
    assert_ne!(world.controller(), Some(controller));
    world.kill(Process::Upstream(3));
    world.run(Duration::from_secs(3));
    assert_served_again(&world);
    assert_safe(&world);
}

#[test]
fn paused_controller_changes_nothing_when_it_resumes() {
    let mut world = settled(SimulationOptions::default());
    let controller = world.controller().expect("a controller");
    world.suspend(Process::Instance(controller));
    world.run(Duration::from_secs(3));
    world.kill(Process::Upstream(4));
    world.run(Duration::from_secs(2));
    world.resume(Process::Instance(controller));
    world.run(Duration::from_secs(3));
    assert_served_again(&world);
    assert_safe(&world);
}

#[test]
fn former_keeper_that_thaws_grants_nothing_to_a_restarted_server() {
    let mut world = settled(SimulationOptions::default());
    let controller = world.controller().expect("a controller");
    let keepers = world.renewers(0);
    let keeper = keepers.into_iter().find(|index| *index != controller);
    let keeper = keeper.expect("another keeper");
    world.suspend(Process::Instance(keeper));
    for other in (0..5).filter(|index| *index != keeper) {
        world.partition(Process::Instance(other), Process::Instance(keeper));
    }
    world.run(Duration::from_secs(5));
    assert!(!world.renewers(0).contains(&keeper), "replaced");
    world.kill(Process::Upstream(0));
    world.run(Duration::from_secs(2));
    for other in (0..5).filter(|index| *index != keeper) {
        world.partition(Process::Instance(other), Process::Upstream(0));
    }
    world.restart(Process::Upstream(0));
    world.resume(Process::Instance(keeper));
    world.run(Duration::from_secs(3));
    assert_safe(&world);
}

#[test]
fn all_instances_replaced_at_once_recover() {
    let mut world = settled(SimulationOptions::default());
    for index in 0..5 {
        world.restart(Process::Instance(index));
    }
    world.run(Duration::from_secs(6));
    world.clear_gaps();
    world.run(Duration::from_secs(1));
    assert_eq!(world.longest_gap(), Duration::ZERO);
    assert_safe(&world);
}

#[test]
fn keeper_lost_during_outage_does_not_block_a_later_failover() {
    let mut world = settled(SimulationOptions::default());
    let controller = world.controller().expect("a controller");
    world.set_store_mode(StoreMode::Down);
    let keepers = world.renewers(0);
    let keeper = keepers.into_iter().find(|index| *index != controller);
    world.kill(Process::Instance(keeper.expect("another keeper")));
    world.run(Duration::from_secs(5));
    world.kill(Process::Upstream(0));
    world.run(Duration::from_secs(3));
    assert_served_again(&world);
    assert_safe(&world);
}

#[test]
fn leaving_server_hands_over_and_keeps_the_keys_served() {
    let mut world = settled(SimulationOptions::default());
    world.set_leaving(2, true);
    world.run(Duration::from_secs(3));
    assert!(world.drained(2));
    assert!(
        world.longest_gap() <= Duration::from_millis(500),
        "gap {:?}",
        world.longest_gap()
    );
    assert_safe(&world);
}

#[test]
fn survivors_share_the_keys_of_a_lost_server() {
    for seed in 0..10 {
        let mut world = settled(SimulationOptions {
            seed,
            ranges_per_upstream: 4,
            ..SimulationOptions::default()
        });
        world.kill(Process::Upstream(1));
        world.run(Duration::from_secs(15));
        let mut held = world.held_ranges();
        held.remove(1);
        let (most, fewest) = (held.iter().max(), held.iter().min());
        let spread = most.zip(fewest).map(|(most, fewest)| most - fewest);
        assert!(spread <= Some(1), "{held:?}\n{}", world.describe());
        assert_safe(&world);
    }
}

#[test]
fn returned_server_gets_its_part_again() {
    let mut world = settled(SimulationOptions::default());
    world.kill(Process::Upstream(1));
    world.run(Duration::from_secs(3));
    world.restart(Process::Upstream(1));
    world.run(Duration::from_secs(2));
    world.clear_gaps();
    world.run(Duration::from_secs(10));
    assert_eq!(world.held_ranges(), [2; 6], "{}", world.describe());
    let gap = world.longest_gap();
    assert!(gap <= MOVE_GAP, "a move left a key unserved for {gap:?}");
    assert_safe(&world);
}

#[test]
fn lost_write_replies_change_nothing() {
    let mut world = settled(SimulationOptions::default());
    world.set_store_mode(StoreMode::LosesResponses);
    world.kill(Process::Upstream(1));
    world.run(Duration::from_secs(3));
    world.kill(Process::Upstream(2));
    world.run(Duration::from_secs(3));
    assert_served_again(&world);
    assert_safe(&world);
}

#[test]
fn lost_keeper_is_replaced_within_three_seconds_among_many_instances() {
    let mut world = settled(SimulationOptions {
        instances: 60,
        ..SimulationOptions::default()
    });
    let controller = world.controller().expect("a controller");
    let keepers = world.renewers(0);
    let lost = keepers.into_iter().find(|index| *index != controller);
    let lost = lost.expect("another keeper");
    world.kill(Process::Instance(lost));
    world.run(Duration::from_secs(3));
    let keepers = world.renewers(0);
    assert!(
        !keepers.contains(&lost) && keepers.len() == 2,
        "{keepers:?}"
    );
    assert_eq!(world.longest_gap(), Duration::ZERO);
    assert_safe(&world);
}

fn unchecked() -> SimulationOptions {
    SimulationOptions {
        check: holder::FenceCheck::Absent,
        ..SimulationOptions::default()
    }
}

#[test]
fn killed_server_that_checks_nothing_is_replaced_within_a_second() {
    for seed in 0..10 {
        let mut world = settled(SimulationOptions {
            seed,
            ..unchecked()
        });
        world.kill(Process::Upstream(0));
        world.run(Duration::from_secs(3));
        assert_served_again(&world);
        assert_safe(&world);
    }
}

#[test]
fn unchecked_servers_wait_for_a_frozen_keeper_and_no_longer() {
    let mut world = settled(unchecked());
    let controller = world.controller().expect("a controller");
    world.suspend(Process::Instance(controller));
    world.run(Duration::from_secs(4));
    world.kill(Process::Upstream(0));
    world.run(Duration::from_secs(2));
    world.resume(Process::Instance(controller));
    world.run(Duration::from_secs(1));
    world.clear_gaps();
    world.run(Duration::from_secs(4));
    assert_eq!(world.longest_gap(), Duration::ZERO, "{}", world.describe());
    assert_safe(&world);
}

#[test]
fn servers_that_check_nothing_are_still_owned_once() {
    let options = SimulationOptions {
        check: holder::FenceCheck::Absent,
        ..SimulationOptions::default()
    };
    let mut world = settled(options);
    let controller = world.controller().expect("a controller");
    world.suspend(Process::Instance(controller));
    world.run(Duration::from_secs(4));
    world.kill(Process::Upstream(0));
    world.run(Duration::from_secs(2));
    world.resume(Process::Instance(controller));
    world.run(Duration::from_secs(5));
    assert_served_again(&world);
    assert_safe(&world);
}
