//! Resource use of the control cores, extrapolated to the target deployment.
//!
//! The target deployment is the size that godwitloom is designed for. The cores run
//! with fakes at their interfaces; every message is encoded as it would be sent. Only
//! one size varies at a time, and a least-squares line through at least four sizes
//! gives the use per unit.

use crate::role_benchmark;
use std::io;
use std::time::Duration;

/// Instances of the target deployment.
///
/// The design target counts nodes. Here all of them are counted as instances; in a
/// narrower reading, the number includes the upstreams too.
const TARGET_INSTANCES: f64 = 670.0;

/// Upstreams per instance, as in the current deployments (74 upstreams, 19 instances).
const UPSTREAMS_PER_INSTANCE: f64 = 74.0 / 19.0;

const RANGES_PER_UPSTREAM: f64 = 4.0;

/// Upstreams of the largest service in the target deployment; each service is assumed to
/// have as many.
const LARGEST_SERVICE_UPSTREAMS: f64 = 600.0;

/// IP and UDP headers of one datagram, in bytes.
const DATAGRAM_HEADER_BYTES: f64 = 28.0;

/// IP and TCP headers of one frame and of its acknowledgement, in bytes.
const FRAME_HEADER_BYTES: f64 = 104.0;

#[derive(Clone, Copy, Debug)]
struct Line {
    slope: f64,
    intercept: f64,
}

impl Line {
    /// Fits a line by least squares.
    fn fit(points: &[(f64, f64)]) -> Line {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        Line {
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }

    fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Resource use of one role as a function of its size.
struct RoleLines {
    /// CPU time in microseconds per second.
    cpu: Line,
    /// Bytes sent per second, with headers.
    bytes: Line,
    /// Heap memory in KiB.
    memory: Line,
}

/// Measures each role for `seconds` of simulated time per size and prints the resource
/// use at the sizes of the target deployment.
pub fn run(seconds: u64) -> io::Result<()> {
    let duration = Duration::from_secs(seconds);
    println!("role        size  cpu_us/s  sent_bytes/s  messages/s  memory_kib");
    // The printed results call a renewer "keeper".
    let renewer = measure(
        "keeper",
        &[16, 32, 64, 128],
        duration,
        role_benchmark::renewer,
    );
    let controller = measure(
        "controller",
        &[50, 100, 200, 400, 600],
        duration,
        role_benchmark::controller,
    );
    let followers = measure(
        "followers",
        &[50, 100, 200, 400, 670],
        duration,
        role_benchmark::followers,
    );
    let follower = measure(
        "follower",
        &[10, 20, 40, 80],
        duration,
        role_benchmark::follower,
    );
    println!();
    report(&renewer, &controller, &followers, &follower);
    Ok(())
}

fn measure(
    name: &str,
    sizes: &[usize],
    duration: Duration,
    benchmark: fn(usize, Duration) -> role_benchmark::RoleFigures,
) -> RoleLines {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    for size in sizes {
        let figures = benchmark(*size, duration);
        let header_bytes = figures.datagrams_per_s * DATAGRAM_HEADER_BYTES
            + figures.frames_per_s * FRAME_HEADER_BYTES;
        let sent_bytes = figures.bytes_per_s + header_bytes;
        println!(
            "{name:11} {size:4}  {:8.1}  {sent_bytes:12.0}  {:10.1}  {:10.1}",
            figures.cpu_us_per_s,
            figures.datagrams_per_s + figures.frames_per_s,
            figures.memory_kib,
        );
        let size = *size as f64;
        cpu.push((size, figures.cpu_us_per_s));
        bytes.push((size, sent_bytes));
        memory.push((size, figures.memory_kib));
    }
    RoleLines {
        cpu: Line::fit(&cpu),
        bytes: Line::fit(&bytes),
        memory: Line::fit(&memory),
    }
}

/// Resource use of one role of an instance in the target deployment.
struct RoleUsage {
    name: &'static str,
    /// Of one CPU core.
    cpu_percent: f64,
    bytes_per_s: f64,
    /// In MiB, although the printed name says MB.
    memory_mb: f64,
}

impl RoleLines {
    fn usage_at(&self, name: &'static str, size: f64) -> RoleUsage {
        RoleUsage {
            name,
            cpu_percent: self.cpu.value_at(size) / 1e4,
            bytes_per_s: self.bytes.value_at(size),
            memory_mb: self.memory.value_at(size) / 1024.0,
        }
    }
}

fn report(
    renewer: &RoleLines,
    controller: &RoleLines,
    followers: &RoleLines,
    follower: &RoleLines,
) {
    // Each upstream has two renewers.
    let renewed_upstreams = 2.0 * UPSTREAMS_PER_INSTANCE;
    let services = TARGET_INSTANCES * UPSTREAMS_PER_INSTANCE / LARGEST_SERVICE_UPSTREAMS;
    let ranges = LARGEST_SERVICE_UPSTREAMS * RANGES_PER_UPSTREAM;
    println!(
        "target: {TARGET_INSTANCES} instances, {renewed_upstreams:.1} upstreams kept by each, \
         {services:.1} services of {LARGEST_SERVICE_UPSTREAMS} upstreams and {ranges} ranges"
    );
    let renewing = renewer.usage_at("keeper", renewed_upstreams);
    let following = follower.usage_at("follower", services);
    let controlling = controller.usage_at("controller", LARGEST_SERVICE_UPSTREAMS);
    let answering_followers = followers.usage_at("followers", TARGET_INSTANCES);
    for role in [&renewing, &following, &controlling, &answering_followers] {
        println!(
            "{:11} cpu_percent={:.3} memory_mb={:.2} bytes_per_s={:.0}",
            role.name, role.cpu_percent, role.memory_mb, role.bytes_per_s
        );
    }
    let all = [&renewing, &following, &controlling, &answering_followers];
    let total = |get: fn(&RoleUsage) -> f64| all.iter().map(|role| get(role)).sum::<f64>();
    let calls = role_benchmark::store_calls_per_s(TARGET_INSTANCES, services);
    // The "plain" fields are for an instance that controls no service.
    println!(
        "RESULT cpu_percent={:.2} memory_mb={:.1} bytes_per_s={:.0} service_calls_per_s={calls:.1} \
         plain_cpu_percent={:.2} plain_bytes_per_s={:.0}",
        total(|role| role.cpu_percent),
        total(|role| role.memory_mb),
        total(|role| role.bytes_per_s),
        renewing.cpu_percent + following.cpu_percent,
        renewing.bytes_per_s + following.bytes_per_s,
    );
}
