//! Throughput and latency through one instance, compared with direct requests to an
//! upstream.

use crate::caller;
use crate::process;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Rounds of the comparison, each of one direct and one routed load.
const ROUNDS: u32 = 3;

/// Duration of the loads before the first round, whose results are not used.
const WARM_UP_DURATION: Duration = Duration::from_millis(1000);

/// Targets and load of the comparison.
#[derive(Clone, Debug)]
pub struct ComparisonOptions {
    pub instance: SocketAddr,
    pub upstream: SocketAddr,
    /// Process ID of the instance, whose CPU time and memory are measured; 0 if unknown.
    pub pid: u32,
    pub load: caller::LoadOptions,
}

/// Results of one load.
struct LoadFigures {
    responses_per_s: f64,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    failed: u64,
    responses: u64,
}

/// Measures direct and routed requests in turn and prints the comparison.
pub fn run(options: &ComparisonOptions) -> io::Result<()> {
    warm_up(options);
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    let cpu_before = process::cpu_time(options.pid);
    let kib_before = process::resident_kib(options.pid);
    for _ in 0..ROUNDS {
        direct.push(measure("direct", options, options.upstream));
        routed.push(measure("instance", options, options.instance));
    }
    let cpu = process::cpu_time(options.pid) - cpu_before;
    let kib_after = process::resident_kib(options.pid);
    let responses: u64 = routed.iter().map(|figures| figures.responses).sum();
    let failed: u64 = routed
        .iter()
        .chain(&direct)
        .map(|figures| figures.failed)
        .sum();
    let cpu_us = cpu.as_micros() as f64 / responses.max(1) as f64;
    println!("instance memory KiB before {kib_before} after {kib_after}");
    let throughput_ratio =
        median(&routed, |f| f.responses_per_s) / median(&direct, |f| f.responses_per_s);
    let added_ms =
        |get: fn(&LoadFigures) -> f64| (median(&routed, get) - median(&direct, get)) / 1e3;
    println!(
        "RESULT throughput_ratio={throughput_ratio:.2} p99_added_ms={:.2} p50_added_ms={:.2} \
         per_second={:.0} cpu_us_per_request={cpu_us:.1} memory_kib={kib_after} failed={failed}",
        added_ms(|f| f.p99_us as f64),
        added_ms(|f| f.p50_us as f64),
        median(&routed, |f| f.responses_per_s),
    );
    Ok(())
}

fn warm_up(options: &ComparisonOptions) {
    for target in [options.upstream, options.instance] {
        let load = options
            .load
            .clone()
            .with_duration(WARM_UP_DURATION)
            .with_target(target);
        caller::run(load);
    }
}

fn measure(name: &str, options: &ComparisonOptions, target: SocketAddr) -> LoadFigures {
    let report = caller::run(options.load.clone().with_target(target));
    let quantile = |q: f64| report.latency.value_at_quantile(q);
    let figures = LoadFigures {
        responses_per_s: report.throughput(),
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        p999_us: quantile(0.999),
        failed: report.failed,
        responses: report.requests - report.failed,
    };
    println!(
        "{name:8} per_second={:.0} p50_us={} p99_us={} p999_us={} failed={}",
        figures.responses_per_s, figures.p50_us, figures.p99_us, figures.p999_us, figures.failed
    );
    figures
}

fn median(figures: &[LoadFigures], get: impl Fn(&LoadFigures) -> f64) -> f64 {
    let mut values: Vec<f64> = figures.iter().map(get).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
