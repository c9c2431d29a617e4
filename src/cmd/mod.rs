//! Subcommands, one file each.

mod check;
mod config;
mod gone;
mod serve;
mod status;
mod timeline;

use clap::{Arg, ArgMatches, Command, value_parser};
use godwitloom::{config_store, daemon, document, exchange};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Exit code for invalid settings, configurations or arguments.
const USAGE_EXIT: u8 = 2;

/// Exit code for a configuration write whose result is unknown.
const UNRESOLVED_EXIT: u8 = 3;

/// Why a subcommand failed.
#[derive(Debug, Error)]
pub enum CommandError {
    #[error(transparent)]
    Document(#[from] document::DocumentError),
    #[error(transparent)]
    Daemon(#[from] daemon::DaemonError),
    #[error(transparent)]
    Call(#[from] exchange::CallError),
    #[error(transparent)]
    ConfigStore(#[from] config_store::ConfigStoreError),
    #[error("output cannot be written: {0}; check where standard output goes")]
    Output(std::io::Error),
    #[error("instance responded with status {status}: {body}")]
    Refused { status: u16, body: String },
    #[error("instance's response is not a status document: {0}; run the same version on both ends")]
    Response(#[from] serde_json::Error),
    #[error("service \"{0}\" is not TEAM/SERVICE of a keyed service; see `godwitloom status`")]
    Service(String),
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Document(_)
            | CommandError::ConfigStore(config_store::ConfigStoreError::Document(_)) => {
                ExitCode::from(USAGE_EXIT)
            }
            CommandError::ConfigStore(config_store::ConfigStoreError::Unresolved { .. }) => {
                ExitCode::from(UNRESOLVED_EXIT)
            }
            _ => ExitCode::FAILURE,
        }
    }
}

/// Returns the command-line parser.
pub fn command() -> Command {
    clap::command!()
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve::command())
        .subcommand(check::command())
        .subcommand(config::command())
        .subcommand(status::command())
        .subcommand(gone::command())
        .subcommand(timeline::command())
}

/// Runs the subcommand that `matches` names.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    match matches.subcommand() {
        Some(("serve", args)) => serve::run(args),
        Some(("check", args)) => check::run(args),
        Some(("config", args)) => config::run(args),
        Some(("status", args)) => status::run(args),
        Some(("gone", args)) => gone::run(args),
        Some(("timeline", args)) => timeline::run(args),
        _ => unreachable!("clap requires a known subcommand"),
    }
}

/// Returns a required string argument.
fn required<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).expect("argument is required")
}

/// Returns a required address argument.
fn address(args: &ArgMatches, name: &str) -> SocketAddr {
    *args.get_one(name).expect("argument is required")
}

/// Returns the argument for an instance's operators' address.
fn operators_arg(help: &'static str) -> Arg {
    Arg::new("operators")
        .required(true)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}
