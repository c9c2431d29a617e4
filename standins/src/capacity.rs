//! Slopes of the control cores, and what they come to at the target's size.
//!
//! The cores run over fakes at their interfaces; every message is encoded as it
//! would be sent. Sizes differ in one variable at a time, and a least-squares
//! line through at least four of them gives the slope.

use crate::role_benchmark;
use std::io;
use std::time::Duration;

/// Nodes of the target: instances and upstreams together in the narrow reading.
const TARGET_NODES: f64 = 670.0;

/// Upstreams per instance, as in today's deployments (74 upstreams, 19 instances).
const UPSTREAMS_PER_INSTANCE: f64 = 74.0 / 19.0;

/// Ranges per upstream.
const RANGES_PER_UPSTREAM: f64 = 4.0;

/// Upstreams of the largest service at the target.
const LARGEST_SERVICE: f64 = 600.0;

/// IP and UDP headers of one datagram, in bytes.
const DATAGRAM_HEADER_BYTES: f64 = 28.0;

/// IP and TCP headers of one frame and of its acknowledgement, in bytes.
const FRAME_HEADER_BYTES: f64 = 104.0;

/// Slope and value at zero of a line.
#[derive(Clone, Copy, Debug)]
struct Line {
    slope: f64,
    base: f64,
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
            base: mean_y - slope * mean_x,
        }
    }

    fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Figures of one role at several sizes.
struct RoleLines {
    cpu: Line,
    bytes: Line,
    memory: Line,
}

/// Measures all roles and prints their figures at the target.
pub fn run(seconds: u64) -> io::Result<()> {
    let time = Duration::from_secs(seconds);
    println!("role        size  cpu_us/s  sent_bytes/s  messages/s  memory_kib");
    let keeper = measure("keeper", &[16, 32, 64, 128], time, role_benchmark::keeper);
    let controller = measure(
        "controller",
        &[50, 100, 200, 400, 600],
        time,
        role_benchmark::controller,
    );
    let followers = measure(
        "followers",
        &[50, 100, 200, 400, 670],
        time,
        role_benchmark::followers,
    );
    let follower = measure(
        "follower",
        &[10, 20, 40, 80],
        time,
        role_benchmark::follower,
    );
    println!();
    report(&keeper, &controller, &followers, &follower);
    Ok(())
}

fn measure(
    name: &str,
    sizes: &[usize],
    time: Duration,
    load: fn(usize, Duration) -> role_benchmark::RoleFigures,
) -> RoleLines {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    for size in sizes {
        let figures = load(*size, time);
        let headers = figures.datagrams_per_s * DATAGRAM_HEADER_BYTES
            + figures.frames_per_s * FRAME_HEADER_BYTES;
        let sent = figures.bytes_per_s + headers;
        println!(
            "{name:11} {size:4}  {:8.1}  {sent:12.0}  {:10.1}  {:10.1}",
            figures.cpu_us_per_s,
            figures.datagrams_per_s + figures.frames_per_s,
            figures.memory_kib,
        );
        let size = *size as f64;
        cpu.push((size, figures.cpu_us_per_s));
        bytes.push((size, sent));
        memory.push((size, figures.memory_kib));
    }
    RoleLines {
        cpu: Line::fit(&cpu),
        bytes: Line::fit(&bytes),
        memory: Line::fit(&memory),
    }
}

/// One role's use of an instance at the target.
struct RoleUse {
    name: &'static str,
    cpu_percent: f64,
    bytes_per_s: f64,
    memory_mb: f64,
}

impl RoleLines {
    fn at(&self, name: &'static str, size: f64) -> RoleUse {
        RoleUse {
            name,
            cpu_percent: self.cpu.at(size) / 1e4,
            bytes_per_s: self.bytes.at(size),
            memory_mb: self.memory.at(size) / 1024.0,
        }
    }
}

fn report(keeper: &RoleLines, controller: &RoleLines, followers: &RoleLines, follower: &RoleLines) {
    let kept = 2.0 * UPSTREAMS_PER_INSTANCE;
    let services = TARGET_NODES * UPSTREAMS_PER_INSTANCE / LARGEST_SERVICE;
    let ranges = LARGEST_SERVICE * RANGES_PER_UPSTREAM;
    println!(
        "target: {TARGET_NODES} instances, {kept:.1} upstreams kept by each, \
         {services:.1} services of {LARGEST_SERVICE} upstreams and {ranges} ranges"
    );
    let keeping = keeper.at("keeper", kept);
    let following = follower.at("follower", services);
    let controlling = controller.at("controller", LARGEST_SERVICE);
    let feeding = followers.at("followers", TARGET_NODES);
    for role in [&keeping, &following, &controlling, &feeding] {
        println!(
            "{:11} cpu_percent={:.3} memory_mb={:.2} bytes_per_s={:.0}",
            role.name, role.cpu_percent, role.memory_mb, role.bytes_per_s
        );
    }
    let all = [&keeping, &following, &controlling, &feeding];
    let sum = |get: fn(&RoleUse) -> f64| all.iter().map(|role| get(role)).sum::<f64>();
    let calls = role_benchmark::service_calls_per_s(TARGET_NODES, services);
    println!(
        "RESULT cpu_percent={:.2} memory_mb={:.1} bytes_per_s={:.0} service_calls_per_s={calls:.1} \
         plain_cpu_percent={:.2} plain_bytes_per_s={:.0}",
        sum(|role| role.cpu_percent),
        sum(|role| role.memory_mb),
        sum(|role| role.bytes_per_s),
        keeping.cpu_percent + following.cpu_percent,
        keeping.bytes_per_s + following.bytes_per_s,
    );
}
