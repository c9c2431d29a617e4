use super::CommandError;
use clap::{Arg, ArgMatches, Command};
use godwitloom::{daemon, settings};

static USAGE: &str = "\
Runs one instance: routes callers' requests, renews upstreams' grants and takes
part in assigning keys.

The settings file is JSON with comments; the README lists its fields. SIGTERM
stops the instance gracefully: it is no longer ready, requests in flight finish
within limits.stop_timeout_ms (milliseconds), and the exit code is 0. Invalid
settings end the process with exit code 2 before it listens.";

pub fn command() -> Command {
    Command::new("serve")
        .about("Run one instance")
        .long_about(USAGE)
        .arg(
            Arg::new("settings")
                .required(true)
                .value_name("FILE")
                .help("Settings file of this instance"),
        )
}

pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let settings = settings::InstanceSettings::read(super::required(args, "settings"))?;
    daemon::run(settings)?;
    Ok(())
}
