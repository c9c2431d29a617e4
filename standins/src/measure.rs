//! Measurements, run by `scripts/measure`.

use clap::{ArgMatches, Command};
use godwitloom_standins::args::{address, number};
use godwitloom_standins::{caller, capacity, failover, heap, proxy_overhead};
use std::process::ExitCode;

#[global_allocator]
static HEAP: heap::CountingAllocator = heap::CountingAllocator;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("requests", args)) => proxy_overhead::run(&path_options(args)),
        Some(("failover", args)) => failover::run(*args.get_one("seeds").expect("default")),
        Some(("capacity", args)) => capacity::run(*args.get_one("seconds").expect("default")),
        _ => unreachable!("clap requires a known subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    clap::command!()
        .subcommand_required(true)
        .subcommand(
            Command::new("requests")
                .about("Compare the path through one instance with the direct one")
                .arg(address("instance"))
                .arg(address("upstream"))
                .arg(number("pid", "0"))
                .arg(number("callers", "32"))
                .arg(number("duration-ms", "8000")),
        )
        .subcommand(
            Command::new("failover")
                .about("Measure unserved time after single losses")
                .arg(number("seeds", "40")),
        )
        .subcommand(
            Command::new("capacity")
                .about("Measure the control cores at several sizes")
                .arg(number("seconds", "20")),
        )
}

fn path_options(args: &ArgMatches) -> proxy_overhead::PathOptions {
    let value = |name: &str| *args.get_one::<u64>(name).expect("has a default");
    proxy_overhead::PathOptions {
        instance: *args.get_one("instance").expect("required"),
        upstream: *args.get_one("upstream").expect("required"),
        pid: value("pid") as u32,
        load: caller::LoadOptions::unkeyed("dryline", "ratecard")
            .with_callers(value("callers") as usize)
            .with_duration(std::time::Duration::from_millis(value("duration-ms"))),
    }
}
