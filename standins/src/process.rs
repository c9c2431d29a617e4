//! CPU time and memory of processes, from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: u64 = 100;

/// Returns the user and system CPU time that a process has used so far; 0 if there is
/// no such process.
pub fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields_after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = fields_after_name.split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    // utime and stime, the 14th and 15th field of the whole line.
    let cpu_ticks = ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0);
    Duration::from_millis(cpu_ticks * 1000 / CLOCK_TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in KiB; 0 if there is no such process.
pub fn resident_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the CPU time that the calling thread has used so far.
pub fn thread_cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
