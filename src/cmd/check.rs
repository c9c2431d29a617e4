use super::CommandError;
use clap::{Arg, ArgMatches, Command};
use godwitloom::{config, document, settings};

static USAGE: &str = "\
Checks an instance's settings, a team's configuration, or both, without starting
an instance.

If they are invalid, the first error is printed with its file, field, value and
remedy, and the exit code is 2.";

pub fn command() -> Command {
    Command::new("check")
        .about("Check settings and configuration")
        .long_about(USAGE)
        .arg_required_else_help(true)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file of an instance"),
        )
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .help("Configuration file of a team"),
        )
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("NAME")
                .default_value("team")
                .help("Team that the configuration is for"),
        )
}

pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let args = CheckArgs::new(args);
    args.check_settings()?;
    args.check_config()
}

struct CheckArgs<'a> {
    settings: Option<&'a String>,
    config: Option<&'a String>,
    team: &'a str,
}

impl<'a> CheckArgs<'a> {
    fn new(args: &'a ArgMatches) -> CheckArgs<'a> {
        CheckArgs {
            settings: args.get_one("settings"),
            config: args.get_one("config"),
            team: super::required(args, "team"),
        }
    }

    fn check_settings(&self) -> Result<(), CommandError> {
        if let Some(path) = self.settings {
            let settings = settings::InstanceSettings::read(path)?;
            println!("{path}: settings of instance {} are valid", settings.id);
        }
        Ok(())
    }

    fn check_config(&self) -> Result<(), CommandError> {
        if let Some(path) = self.config {
            let text = document::read_text(path)?;
            let config = config::TeamConfig::parse(path, self.team, &text)?;
            let count = config.services.len();
            println!(
                "{path}: configuration of team {} is valid, services: {count}",
                self.team
            );
        }
        Ok(())
    }
}
