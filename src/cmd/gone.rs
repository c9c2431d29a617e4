use super::CommandError;
use clap::{Arg, ArgMatches, Command};
use godwitloom::exchange;
use http_types::Method;

static USAGE: &str = "\
Tells an instance that a run of another instance has ended for good.

Needed only when an upstream and one of its keepers are lost at the same moment:
the upstream's keys stay without an owner until the keeper returns, its instance
is started anew, or an operator vouches with this command that it is gone. A
false word can give one key two owners: make sure that the machine is off.

Send it to the service's controller, which `godwitloom status` names.";

pub fn command() -> Command {
    Command::new("gone")
        .about("Vouch that a run of an instance has ended")
        .long_about(USAGE)
        .arg(super::operators_arg("Operators' address of the controller"))
        .arg(
            Arg::new("run")
                .required(true)
                .value_name("RUN")
                .help("Run of the lost instance, 16 hexadecimal digits, from `godwitloom status`"),
        )
}

pub fn run(args: &ArgMatches) -> Result<(), CommandError> {
    let address = super::address(args, "operators");
    let path = format!("/gone?key={}", super::required(args, "run"));
    let call = exchange::call(address, Method::Post, &path, "", super::CALL_TIMEOUT);
    let answer = async_io::block_on(call)?;
    if answer.status != 200 {
        return Err(CommandError::Refused {
            status: answer.status,
            body: answer.body,
        });
    }
    print!("{}", answer.body);
    Ok(())
}
