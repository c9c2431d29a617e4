//! Throughput and latency through one instance, against the direct path.

use crate::caller;
use crate::process;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Rounds of the comparison; the two paths alternate.
const ROUNDS: u32 = 3;

/// Load before the first round, whose figures are not used.
const WARM_UP: Duration = Duration::from_millis(1000);

/// What to measure.
#[derive(Clone, Debug)]
pub struct PathOptions {
    pub instance: SocketAddr,
    pub upstream: SocketAddr,
    /// Process of the instance; 0 if unknown.
    pub pid: u32,
    pub load: caller::LoadOptions,
}

struct PathFigures {
    per_second: f64,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
    failed: u64,
    answered: u64,
}

/// Measures both paths in turn and prints the comparison.
pub fn run(options: &PathOptions) -> io::Result<()> {
    warm_up(options);
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    let cpu_before = process::cpu_time(options.pid);
    let memory_before = process::resident_kib(options.pid);
    for _ in 0..ROUNDS {
        direct.push(measure("direct", options, options.upstream));
        routed.push(measure("instance", options, options.instance));
    }
    let cpu = process::cpu_time(options.pid) - cpu_before;
    let memory = process::resident_kib(options.pid);
    let answered: u64 = routed.iter().map(|figures| figures.answered).sum();
    let failed: u64 = routed
        .iter()
        .chain(&direct)
        .map(|figures| figures.failed)
        .sum();
    let cpu_us = cpu.as_micros() as f64 / answered.max(1) as f64;
    println!("instance memory KiB before {memory_before} after {memory}");
    let ratio = median(&routed, |f| f.per_second) / median(&direct, |f| f.per_second);
    let added = |get: fn(&PathFigures) -> f64| (median(&routed, get) - median(&direct, get)) / 1e3;
    println!(
        "RESULT throughput_ratio={ratio:.2} p99_added_ms={:.2} p50_added_ms={:.2} \
         per_second={:.0} cpu_us_per_request={cpu_us:.1} memory_kib={memory} failed={failed}",
        added(|f| f.p99_us as f64),
        added(|f| f.p50_us as f64),
        median(&routed, |f| f.per_second),
    );
    Ok(())
}

fn warm_up(options: &PathOptions) {
    for target in [options.upstream, options.instance] {
        let load = options
            .load
            .clone()
            .with_duration(WARM_UP)
            .with_target(target);
        caller::run(load);
    }
}

fn measure(name: &str, options: &PathOptions, target: SocketAddr) -> PathFigures {
    let report = caller::run(options.load.clone().with_target(target));
    let quantile = |q: f64| report.latency.value_at_quantile(q);
    let figures = PathFigures {
        per_second: report.throughput(),
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        p999_us: quantile(0.999),
        failed: report.failed,
        answered: report.requests - report.failed,
    };
    println!(
        "{name:8} per_second={:.0} p50_us={} p99_us={} p999_us={} failed={}",
        figures.per_second, figures.p50_us, figures.p99_us, figures.p999_us, figures.failed
    );
    figures
}

fn median(figures: &[PathFigures], get: impl Fn(&PathFigures) -> f64) -> f64 {
    let mut values: Vec<f64> = figures.iter().map(get).collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
