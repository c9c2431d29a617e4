//! Stand-ins for the review's scripts: the platform's store, endpoints and clients, as the
//! users' pages describe them, and the scenarios of the cases. Only the standard library.
//!
//! Usage: `rv SCENARIO RECORD`, run in the repository's root; `TROUBLE=0` leaves the
//! disruption out. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[path = "platform.rs"]
mod platform;
#[path = "scenarios.rs"]
mod scenarios;

use std::time::Duration;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = &args[..] else {
        eprintln!("usage: rv SCENARIO RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = platform::Record::create(record);
    // No run may last longer than a script may.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(112));
        eprintln!("rv: the run took too long");
        platform::finish(2);
    });
    let status = match scenario.as_str() {
        "idle" => scenarios::idle(&record, trouble),
        "late-extra" => scenarios::late_extra(&record, trouble),
        "stale-merge" => scenarios::stale_merge(&record, trouble),
        "refused-release" => scenarios::refused_release(&record, trouble),
        "foreign-entry" => scenarios::foreign_entry(&record, trouble),
        _ => {
            eprintln!("rv: unknown scenario {scenario}");
            2
        }
    };
    platform::finish(status);
}
