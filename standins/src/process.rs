//! Processor time and memory of processes, from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the processor time that a process used so far.
pub fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let used = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
    Duration::from_millis(used * 1000 / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in KiB.
pub fn resident_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the processor time that the calling thread used so far.
pub fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
