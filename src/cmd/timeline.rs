use super::CommandError;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use godwitloom::{document, timeline};
use std::io::{self, Write};

static USAGE: &str = "\
Merges the logs of several processes into one timeline.

Each line shows milliseconds since the first event, the instance, the event and
its fields. Options filter the events: an event must match each option, and one
of the names if --event is repeated.";

pub fn command() -> Command {
    let option = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("timeline")
        .about("Merge logs and follow a request, key, upstream or version")
        .long_about(USAGE)
        .arg(
            Arg::new("logs")
                .required(true)
                .num_args(1..)
                .value_name("FILE")
                .help("Logs of the processes"),
        )
        .arg(option("request", "ID", "Only events of this request"))
        .arg(option("key", "NUMBER", "Only events about this key").value_parser(value_parser!(u64)))
        .arg(option(
            "upstream",
            "ID",
            "Only events that name this upstream",
        ))
        .arg(
            option("config", "VERSION", "Only events of this configuration")
                .value_parser(value_parser!(u64)),
        )
        .arg(option("event", "NAME", "Only events of this name").action(ArgAction::Append))
}

pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let args = TimelineArgs::new(args);
    let logs = args.read()?;
    let merged = timeline::Timeline::merge(logs.iter().map(String::as_str), &args.filter);
    print(&merged).map_err(CommandError::Output)
}

struct TimelineArgs<'a> {
    logs: Vec<&'a String>,
    filter: timeline::EventFilter,
}

impl<'a> TimelineArgs<'a> {
    fn new(args: &'a ArgMatches) -> TimelineArgs<'a> {
        let events = args.get_many::<String>("event").into_iter().flatten();
        TimelineArgs {
            logs: args.get_many("logs").into_iter().flatten().collect(),
            filter: timeline::EventFilter {
                request: args.get_one("request").cloned(),
                key: args.get_one("key").copied(),
                upstream: args.get_one("upstream").cloned(),
                config: args.get_one("config").copied(),
                events: events.cloned().collect(),
            },
        }
    }

    fn read(&self) -> Result<Vec<String>, CommandError> {
        let texts = self.logs.iter().map(|path| document::read_text(path));
        Ok(texts.collect::<Result<_, _>>()?)
    }
}

fn print(merged: &timeline::Timeline) -> io::Result<()> {
    let mut output = io::stdout().lock();
    let first = merged.events.first().map_or(0, |event| event.time_ms);
    for event in &merged.events {
        let since = event.time_ms - first;
        let (instance, name, fields) = (&event.node, &event.name, &event.fields);
        writeln!(output, "{since:>8} ms  {instance}  {name}  {fields}")?;
    }
    if merged.skipped > 0 {
        writeln!(output, "lines passed over: {}", merged.skipped)?;
    }
    Ok(())
}
