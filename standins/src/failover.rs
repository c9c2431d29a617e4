//! Unserved time after single losses, over the control cores and fakes.

use crate::control_simulation::{ControlSimulation, Process, SimulationOptions, StoreMode};
use hdrhistogram::Histogram;
use std::io;
use std::time::Duration;

/// Simulated time before the loss.
const SETTLE: Duration = Duration::from_secs(4);

/// Length of an outage of the platform's service before the loss.
const OUTAGE: Duration = Duration::from_secs(60);

/// Simulated time after the loss.
const OBSERVE: Duration = Duration::from_secs(8);

/// Figures of one kind of loss.
struct LossFigures {
    /// Longest gap of any key per run, in milliseconds.
    gaps: Histogram<u64>,
    overlaps: usize,
}

/// Measures each kind of loss over `seeds` runs and prints the figures.
pub fn run(seeds: u64) -> io::Result<()> {
    println!("loss                          runs  gap_p50_ms  gap_p99_ms  gap_max_ms  overlaps");
    let upstream = measure("upstream", seeds, StoreMode::Up, lose_server);
    let outage = measure(
        "upstream, platform down",
        seeds,
        StoreMode::Down,
        lose_server,
    );
    let instance = measure("instance", seeds, StoreMode::Up, lose_instance);
    let dark = measure(
        "instance, platform down",
        seeds,
        StoreMode::Down,
        lose_instance,
    );
    let all = [&upstream, &outage, &instance, &dark];
    println!(
        "RESULT gap_max_ms={} gap_max_outage_ms={} instance_gap_max_ms={} overlaps={}",
        upstream.gaps.max(),
        outage.gaps.max(),
        instance.gaps.max().max(dark.gaps.max()),
        all.iter().map(|figures| figures.overlaps).sum::<usize>(),
    );
    Ok(())
}

fn measure(
    name: &str,
    seeds: u64,
    mode: StoreMode,
    lose: fn(&mut ControlSimulation, u64),
) -> LossFigures {
    let mut gaps = Histogram::new(3).expect("three digits are allowed");
    let mut overlaps = 0;
    for seed in 0..seeds {
        let mut world = ControlSimulation::new(SimulationOptions {
            instances: 10,
            upstreams: 16,
            ranges_per_upstream: 4,
            seed,
            ..SimulationOptions::default()
        });
        world.run(SETTLE);
        world.set_store_mode(mode);
        if mode == StoreMode::Down {
            world.run(OUTAGE);
        }
        world.clear_gaps();
        lose(&mut world, seed);
        world.run(OBSERVE);
        gaps.saturating_record(world.longest_gap().as_millis() as u64);
        overlaps += world.overlaps.len();
    }
    println!(
        "{name:28}  {seeds:4}  {:10}  {:10}  {:10}  {overlaps:8}",
        gaps.value_at_quantile(0.5),
        gaps.value_at_quantile(0.99),
        gaps.max(),
    );
    LossFigures { gaps, overlaps }
}

fn lose_server(world: &mut ControlSimulation, seed: u64) {
    let servers = world.options.upstreams as u64;
    world.kill(Process::Upstream((seed % servers) as usize));
}

fn lose_instance(world: &mut ControlSimulation, seed: u64) {
    let instances = world.options.instances as u64;
    world.kill(Process::Instance((seed % instances) as usize));
}
