//! Command line of the stand-ins that tests and the quick start use.

use clap::{Arg, ArgAction, ArgMatches, Command};
use godwitloom::{holder, ids};
use godwitloom_standins::args::{address, number};
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
        Some(("ports", args)) => print_ports(value(args, "count")),
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
                .about("Run the platform's key-value service")
                .arg(address("listen")),
        )
        .subcommand(
            Command::new("ports")
                .about("Print free loopback ports")
                .arg(number("count", "1")),
        )
        .subcommand(upstream_command())
        .subcommand(caller_command())
}

fn text(name: &'static str) -> Arg {
    Arg::new(name).long(name).required(true).value_name("NAME")
}

fn flag(name: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue)
}

fn upstream_command() -> Command {
    Command::new("upstream")
        .about("Run one upstream")
        .arg(text("team"))
        .arg(text("service"))
        .arg(text("name"))
        .arg(address("requests"))
        .arg(address("grants"))
        .arg(number("slots", "6"))
        .arg(number("cold-start-ms", "0"))
        .arg(flag("unkeyed"))
        .arg(flag("unchecked"))
}

fn caller_command() -> Command {
    Command::new("caller")
        .about("Send a bounded load and print what came back")
        .arg(address("target").action(ArgAction::Append))
        .arg(text("team"))
        .arg(text("service"))
        .arg(number("keys", "0"))
        .arg(number("skew-percent", "0"))
        .arg(number("shift-ms", "0"))
        .arg(number("callers", "8"))
        .arg(number("duration-ms", "1000"))
        .arg(number("pause-ms", "0"))
        .arg(number("work-us", "0"))
        .arg(flag("post"))
}

fn string(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).expect("required").clone()
}

fn value(args: &ArgMatches, name: &str) -> u64 {
    *args.get_one(name).expect("has a default")
}

fn upstream_options(args: &ArgMatches) -> upstream::UpstreamOptions {
    let name = string(args, "name");
    let (team, service) = (string(args, "team"), string(args, "service"));
    upstream::UpstreamOptions {
        key: ids::UpstreamKey::derive(&team, &service, &name),
        name,
        keyed: !args.get_flag("unkeyed"),
        requests: *args.get_one("requests").expect("required"),
        grants: *args.get_one("grants").expect("required"),
        slots: value(args, "slots") as usize,
        check: match args.get_flag("unchecked") {
            true => holder::FenceCheck::Absent,
            false => holder::FenceCheck::Enforced,
        },
        cold_start: Duration::from_millis(value(args, "cold-start-ms")),
    }
}

/// Prints ports that were free for both TCP and UDP a moment ago.
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
        team: string(args, "team"),
        service: string(args, "service"),
        keys: value(args, "keys") as usize,
        skew_percent: value(args, "skew-percent") as u32,
        shift: Duration::from_millis(value(args, "shift-ms")),
        callers: value(args, "callers") as usize,
        duration: Duration::from_millis(value(args, "duration-ms")),
        pause: Duration::from_millis(value(args, "pause-ms")),
        method: match args.get_flag("post") {
            true => Method::Post,
            false => Method::Get,
        },
        work_us: value(args, "work-us"),
    });
    let mut upstreams: Vec<_> = report.upstreams.iter().collect();
    upstreams.sort();
    for (upstream, requests) in upstreams {
        println!("upstream {upstream} answered {requests}");
    }
    println!(
        "requests={} failed={} wrong={} repeated={} per_second={:.0} p50_us={} p99_us={} gap_max_ms={}",
        report.requests,
        report.failed,
        report.wrong,
        report.repeated,
        report.throughput(),
        report.latency.value_at_quantile(0.5),
        report.latency.value_at_quantile(0.99),
        report.longest_gap().as_millis(),
    );
    Ok(())
}
