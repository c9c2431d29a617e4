//! Command line of the fakes that tests and the quick start use.

use clap::{Arg, ArgAction, ArgMatches, Command};
use godwitloom::{holder, ids};
use godwitloom_standins::args::{address_arg, number_arg};
use godwitloom_standins::{caller, metadata_store, ports, upstream};
use http_types::Method;
use std::io;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("platform", args)) => metadata_store::run(*args.get_one("listen").expect("required")),
        Some(("upstream", args)) => upstream::run(upstream_options(args)),
        Some(("caller", args)) => run_caller(args),
        Some(("ports", args)) => print_ports(number_value(args, "count")),
        _ => unreachable!("clap requires a known subcommand"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    clap::command!()
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Run a fake of the platform's metadata store")
                .arg(address_arg("listen")),
        )
        .subcommand(
            Command::new("ports")
                .about("Print free loopback ports")
                .arg(number_arg("count", "1")),
        )
        .subcommand(upstream_command())
        .subcommand(caller_command())
}

fn name_arg(name: &'static str) -> Arg {
    Arg::new(name).long(name).required(true).value_name("NAME")
}

fn flag_arg(name: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue)
}

fn upstream_command() -> Command {
    Command::new("upstream")
        .about("Run one fake upstream")
        .arg(name_arg("team"))
        .arg(name_arg("service"))
        .arg(name_arg("name"))
        .arg(address_arg("requests"))
        .arg(address_arg("grants"))
        .arg(number_arg("slots", "6"))
        .arg(number_arg("cold-start-ms", "0"))
        .arg(flag_arg("unkeyed"))
        .arg(flag_arg("unchecked"))
}

fn caller_command() -> Command {
    Command::new("caller")
        .about("Send requests for a given time and print the results")
        .arg(address_arg("target").action(ArgAction::Append))
        .arg(name_arg("team"))
        .arg(name_arg("service"))
        .arg(number_arg("keys", "0"))
        .arg(number_arg("skew-percent", "0"))
        .arg(number_arg("shift-ms", "0"))
        .arg(number_arg("callers", "8"))
        .arg(number_arg("duration-ms", "1000"))
        .arg(number_arg("pause-ms", "0"))
        .arg(number_arg("work-us", "0"))
        .arg(flag_arg("post"))
}

fn string_value(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).expect("required").clone()
}

fn number_value(args: &ArgMatches, name: &str) -> u64 {
    *args.get_one(name).expect("has a default")
}

fn upstream_options(args: &ArgMatches) -> upstream::UpstreamOptions {
    let name = string_value(args, "name");
    let (team, service) = (string_value(args, "team"), string_value(args, "service"));
    upstream::UpstreamOptions {
        key: ids::UpstreamKey::derive(&team, &service, &name),
        name,
        keyed: !args.get_flag("unkeyed"),
        request_address: *args.get_one("requests").expect("required"),
        grant_address: *args.get_one("grants").expect("required"),
        slots: number_value(args, "slots") as usize,
        check: match args.get_flag("unchecked") {
            true => holder::FenceCheck::Absent,
            false => holder::FenceCheck::Enforced,
        },
        cold_start: Duration::from_millis(number_value(args, "cold-start-ms")),
    }
}

/// Prints ports that were free for both TCP and UDP when they were checked.
fn print_ports(count: u64) -> io::Result<()> {
    for address in ports::free_addresses(count as usize) {
        println!("{}", address.port());
    }
    Ok(())
}

fn run_caller(args: &ArgMatches) -> io::Result<()> {
    let report = caller::run(caller::LoadOptions {
        targets: args
            .get_many("target")
            .expect("required")
            .copied()
            .collect(),
        team: string_value(args, "team"),
        service: string_value(args, "service"),
        keys: number_value(args, "keys") as usize,
        skew_percent: number_value(args, "skew-percent") as u32,
        shift_interval: Duration::from_millis(number_value(args, "shift-ms")),
        callers: number_value(args, "callers") as usize,
        duration: Duration::from_millis(number_value(args, "duration-ms")),
        pause: Duration::from_millis(number_value(args, "pause-ms")),
        method: match args.get_flag("post") {
            true => Method::Post,
            false => Method::Get,
        },
        work_us: number_value(args, "work-us"),
    });
    let mut upstreams: Vec<_> = report.responses_by_upstream.iter().collect();
    upstreams.sort();
    for (upstream, responses) in upstreams {
        println!("upstream {upstream} answered {responses}");
    }
    println!(
        "requests={} failed={} wrong={} repeated={} per_second={:.0} p50_us={} p99_us={} gap_max_ms={}",
        report.requests,
        report.failed,
        report.mismatched,
        report.retried,
        report.throughput(),
        report.latency.value_at_quantile(0.5),
        report.latency.value_at_quantile(0.99),
        report.longest_gap().as_millis(),
    );
    Ok(())
}
