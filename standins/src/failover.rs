//! Gaps, times in which a range has no responding owner, after one process is killed.
//!
//! The control cores run in a [`ControlSimulation`], so the times are simulated.

use crate::control_simulation::{ControlSimulation, Process, SimulationOptions, StoreMode};
use hdrhistogram::Histogram;
use std::io;
use std::time::Duration;

/// Simulated time before the process is killed, in which every range gets an owner.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Duration of an outage of the metadata store before the process is killed.
const OUTAGE_DURATION: Duration = Duration::from_secs(60);

/// Simulated time after the process is killed, while gaps are measured.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);

/// Results of one kind of loss.
struct LossFigures {
    /// Longest gap of any range in each run, in milliseconds.
    gaps: Histogram<u64>,
    /// Number of moments at which two upstreams owned one key.
    overlaps: usize,
}

/// Measures each kind of loss with seeds from 0 to `seeds` - 1 and prints the results.
pub fn run(seeds: u64) -> io::Result<()> {
    println!("loss                          runs  gap_p50_ms  gap_p99_ms  gap_max_ms  overlaps");
    // In the printed results, "platform down" is an outage of the metadata store.
    let upstream = measure("upstream", seeds, StoreMode::Up, kill_upstream);
    let upstream_outage = measure(
        "upstream, platform down",
        seeds,
        StoreMode::Down,
        kill_upstream,
    );
    let instance = measure("instance", seeds, StoreMode::Up, kill_instance);
    let instance_outage = measure(
        "instance, platform down",
        seeds,
        StoreMode::Down,
        kill_instance,
    );
    let all = [&upstream, &upstream_outage, &instance, &instance_outage];
    println!(
        "RESULT gap_max_ms={} gap_max_outage_ms={} instance_gap_max_ms={} overlaps={}",
        upstream.gaps.max(),
        upstream_outage.gaps.max(),
        instance.gaps.max().max(instance_outage.gaps.max()),
        all.iter().map(|figures| figures.overlaps).sum::<usize>(),
    );
    Ok(())
}

fn measure(
    name: &str,
    seeds: u64,
    mode: StoreMode,
    kill: fn(&mut ControlSimulation, u64),
) -> LossFigures {
    let mut gaps = Histogram::new(3).expect("three digits are allowed");
    let mut overlaps = 0;
    for seed in 0..seeds {
        let mut simulation = ControlSimulation::new(SimulationOptions {
            instances: 10,
            upstreams: 16,
            ranges_per_upstream: 4,
            seed,
            ..SimulationOptions::default()
        });
        simulation.run(SETTLE_TIME);
        simulation.set_store_mode(mode);
        if mode == StoreMode::Down {
            simulation.run(OUTAGE_DURATION);
        }
        simulation.clear_gaps();
        kill(&mut simulation, seed);
        simulation.run(OBSERVATION_TIME);
        gaps.saturating_record(simulation.longest_gap().as_millis() as u64);
        overlaps += simulation.overlaps.len();
    }
    println!(
        "{name:28}  {seeds:4}  {:10}  {:10}  {:10}  {overlaps:8}",
        gaps.value_at_quantile(0.5),
        gaps.value_at_quantile(0.99),
        gaps.max(),
    );
    LossFigures { gaps, overlaps }
}

fn kill_upstream(simulation: &mut ControlSimulation, seed: u64) {
    let upstreams = simulation.options.upstreams as u64;
    simulation.kill(Process::Upstream((seed % upstreams) as usize));
}

fn kill_instance(simulation: &mut ControlSimulation, seed: u64) {
    let instances = simulation.options.instances as u64;
    simulation.kill(Process::Instance((seed % instances) as usize));
}
