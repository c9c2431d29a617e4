use super::CommandError;
use clap::{Arg, ArgMatches, Command};
use godwitloom::{exchange, operators, range};
use http_types::Method;
use std::net::SocketAddr;

static USAGE: &str = "\
Prints an instance's status: configuration versions, controllers and owners.

With --service and --key, prints the owner of that key only. The call times out
after five seconds.";

pub fn command() -> Command {
    Command::new("status")
        .about("Print an instance's status")
        .long_about(USAGE)
        .arg(super::operators_arg("Operators' address of the instance"))
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("TEAM/SERVICE")
                .requires("key")
                .help("Keyed service in which to look a key up"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .requires("service")
                .help("Print the owner of this key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(clap::ArgAction::SetTrue)
                .help("Print JSON"),
        )
}

pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let args = StatusArgs::new(args);
    let text = args.fetch()?;
    if args.json {
        print!("{text}");
        return Ok(());
    }
    let status: operators::InstanceStatus = serde_json::from_str(&text)?;
    match (args.service, args.key) {
        (Some(service), Some(key)) => print_owner(&status, service, key),
        _ => {
            print_status(&status);
            Ok(())
        }
    }
}

struct StatusArgs<'a> {
    address: SocketAddr,
    service: Option<&'a String>,
    key: Option<&'a String>,
    json: bool,
}

impl<'a> StatusArgs<'a> {
    fn new(args: &'a ArgMatches) -> StatusArgs<'a> {
        StatusArgs {
            address: super::address(args, "operators"),
            service: args.get_one("service"),
            key: args.get_one("key"),
            json: args.get_flag("json"),
        }
    }

    fn fetch(&self) -> Result<String, CommandError> {
        let call = exchange::call(
            self.address,
            Method::Get,
            "/status",
            "",
            super::CALL_TIMEOUT,
        );
        let response = async_io::block_on(call)?;
        match response.status {
            200 => Ok(response.body),
            status => Err(CommandError::Refused {
                status,
                body: response.body,
            }),
        }
    }
}

fn print_owner(
    status: &operators::InstanceStatus,
    service: &str,
    key: &str,
) -> Result<(), CommandError> {
    let hash = range::KeyHash::of(key.as_bytes());
    let has_name = |s: &&operators::ServiceStatus| format!("{}/{}", s.team, s.service) == service;
    let found = status.services.iter().find(has_name).filter(|s| s.keyed);
    let found = found.ok_or_else(|| CommandError::Service(service.to_owned()))?;
    let covers = |r: &&operators::RangeStatus| r.first <= hash.0 && hash.0 <= r.last;
    let range = found.ranges.iter().find(covers);
    let owner = range.and_then(|range| range.owner.as_deref());
    println!("{}", owner.unwrap_or("(changing hands)"));
    Ok(())
}

fn print_status(status: &operators::InstanceStatus) {
    println!(
        "instance {} zone {} run {}",
        status.id, status.zone, status.key
    );
    println!("ready {} renewing {}", status.ready, status.renewing);
    for team in &status.teams {
        println!("team {} configuration {}", team.team, team.version);
    }
    for service in &status.services {
        print_service(service);
    }
}

fn print_service(service: &operators::ServiceStatus) {
    let name = format!("{}/{}", service.team, service.service);
    if !service.keyed {
        println!("service {name} unkeyed");
        return;
    }
    let controller = service.controller.as_deref().unwrap_or("(unknown)");
    let unowned = service
        .ranges
        .iter()
        .filter(|range| range.owner.is_none())
        .count();
    println!(
        "service {name} keyed controller {controller} term {} ranges {} unowned {unowned}",
        service.term,
        service.ranges.len(),
    );
    let mut owners: Vec<&str> = service
        .ranges
        .iter()
        .filter_map(|r| r.owner.as_deref())
        .collect();
    owners.sort_unstable();
    for owned in owners.chunk_by(|one, next| one == next) {
        println!("  upstream {} ranges {}", owned[0], owned.len());
    }
}
