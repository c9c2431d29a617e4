use super::CommandError;
use clap::{Arg, ArgMatches, Command, value_parser};
use godwitloom::{config_store, document, metrics, store_client};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

static USAGE: &str = "\
Reads and changes teams' configurations in the platform's metadata store.

A put names the version that was edited and fails if another version has come
into force since. The whole configuration is checked before it is written. If the
response to the write is lost, the command finds out whether the write took
effect; if the store does not respond for --patience seconds, the exit code is 3
and the result is unknown.";

pub fn command() -> Command {
    Command::new("config")
        .about("Read and change teams' configurations")
        .long_about(USAGE)
        .subcommand_required(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .global(true)
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:2380")
                .help("Address of the platform's metadata store"),
        )
        .arg(
            Arg::new("patience")
                .long("patience")
                .global(true)
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .default_value("30")
                .help("Time to spend on learning the result of a write"),
        )
        .subcommand(
            Command::new("get")
                .about("Print a version; the one in force by default")
                .arg(team_arg())
                .arg(version_arg("version").required(false)),
        )
        .subcommand(
            Command::new("put")
                .about("Write a new version")
                .arg(team_arg())
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_name("FILE")
                        .help("Configuration of the team, JSON with comments"),
                )
                .arg(
                    version_arg("edited")
                        .long("edited")
                        .help("Version that was edited; 0 for a new team"),
                )
                .arg(author_arg()),
        )
        .subcommand(
            Command::new("diff")
                .about("Compare two versions")
                .arg(team_arg())
                .arg(version_arg("from"))
                .arg(version_arg("to")),
        )
        .subcommand(
            Command::new("history")
                .about("List the versions of a team")
                .arg(team_arg()),
        )
        .subcommand(
            Command::new("rollback")
                .about("Write an earlier version as a new one")
                .arg(team_arg())
                .arg(version_arg("version"))
                .arg(author_arg()),
        )
}

fn team_arg() -> Arg {
    Arg::new("team").required(true).value_name("TEAM")
}

fn version_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .required(true)
        .value_name("VERSION")
        .value_parser(value_parser!(u64))
}

fn author_arg() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .default_value("operator")
        .help("Author of the change, kept with the version")
}

pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let (name, args) = args.subcommand().expect("clap requires a subcommand");
    let args = ConfigArgs::new(args);
    async_io::block_on(async {
        match name {
            "get" => args.get().await,
            "put" => args.put().await,
            "diff" => args.diff().await,
            "history" => args.history().await,
            _ => args.rollback().await,
        }
    })
}

struct ConfigArgs<'a> {
    matches: &'a ArgMatches,
    store: config_store::ConfigStore,
    team: &'a str,
}

impl<'a> ConfigArgs<'a> {
    fn new(matches: &'a ArgMatches) -> ConfigArgs<'a> {
        let metrics = Arc::new(metrics::MetricSet::new());
        let client = store_client::StoreClient::new(super::address(matches, "platform"), metrics);
        let resolve_seconds = *matches.get_one("patience").expect("has a default");
        ConfigArgs {
            matches,
            store: config_store::ConfigStore::new(client, Duration::from_secs(resolve_seconds)),
            team: super::required(matches, "team"),
        }
    }

    fn number(&self, name: &str) -> u64 {
        *self.matches.get_one(name).expect("argument is required")
    }

    async fn current(&self) -> Result<config_store::ConfigVersion, config_store::ConfigStoreError> {
        let current = self.store.current(self.team).await?;
        current.ok_or_else(|| config_store::ConfigStoreError::NoTeam(self.team.to_owned()))
    }

    async fn get(&self) -> Result<(), CommandError> {
        let version = match self.matches.get_one::<u64>("version") {
            Some(version) => self.store.version(self.team, *version).await?,
            None => self.current().await?,
        };
        eprintln!("team {} version {}", self.team, version.version);
        print!("{}", version.text);
        Ok(())
    }

    async fn put(&self) -> Result<(), CommandError> {
        let text = document::read_text(super::required(self.matches, "file"))?;
        self.write(self.number("edited"), &text).await
    }

    async fn write(&self, edited: u64, text: &str) -> Result<(), CommandError> {
        let author = super::required(self.matches, "author");
        let accepted = self.store.put(self.team, edited, author, text).await?;
        println!("accepted: team {} version {}", self.team, accepted.version);
        Ok(())
    }

    async fn diff(&self) -> Result<(), CommandError> {
        let from = self.store.version(self.team, self.number("from")).await?;
        let to = self.store.version(self.team, self.number("to")).await?;
        print!("{}", config_store::diff(&from, &to));
        Ok(())
    }

    async fn history(&self) -> Result<(), CommandError> {
        let current = self.current().await?;
        for number in 1..current.version {
            let version = self.store.version(self.team, number).await?;
            print_version(&version, "");
        }
        print_version(&current, " in force");
        Ok(())
    }

    async fn rollback(&self) -> Result<(), CommandError> {
        let version = self
            .store
            .version(self.team, self.number("version"))
            .await?;
        let current = self.current().await?;
        self.write(current.version, &version.text).await
    }
}

fn print_version(version: &config_store::ConfigVersion, note: &str) {
    println!(
        "version {} by {} at {}{note}",
        version.version, version.author, version.written_at
    );
}
