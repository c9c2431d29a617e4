//! Command line of the measurements that `scripts/measure` runs.

use clap::{ArgMatches, Command};
use godwitloom_standins::args::{address_arg, number_arg};
use godwitloom_standins::{caller, capacity, failover, heap, proxy_overhead};
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: heap::CountingAllocator = heap::CountingAllocator;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("requests", args)) => proxy_overhead::run(&comparison_options(args)),
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
                .about("Compare requests through one instance with direct requests")
                .arg(address_arg("instance"))
                .arg(address_arg("upstream"))
                .arg(number_arg("pid", "0"))
                .arg(number_arg("callers", "32"))
                .arg(number_arg("duration-ms", "8000")),
        )
        .subcommand(
            Command::new("failover")
                .about("Measure the time without an owner after one process is killed")
                .arg(number_arg("seeds", "40")),
        )
        .subcommand(
            Command::new("capacity")
                .about("Measure the resource use of the control cores at several sizes")
                .arg(number_arg("seconds", "20")),
        )
}

fn comparison_options(args: &ArgMatches) -> proxy_overhead::ComparisonOptions {
    let number_value = |name: &str| *args.get_one::<u64>(name).expect("has a default");
    proxy_overhead::ComparisonOptions {
        instance: *args.get_one("instance").expect("required"),
        upstream: *args.get_one("upstream").expect("required"),
        pid: number_value("pid") as u32,
        load: caller::LoadOptions::unkeyed("dryline", "ratecard")
            .with_callers(number_value("callers") as usize)
            .with_duration(std::time::Duration::from_millis(number_value(
                "duration-ms",
            ))),
    }
}
