use super::CommandError;
use clap::{Arg, ArgMatches, Command};
use godwitloom::exchange;
use http_types::Method;

static USAGE: &str = "\
Confirms to an instance that a run of another instance has ended for good.

Needed only when an upstream and one of the instances that renew its grants are
lost at the same moment: the upstream's keys stay without an owner until that
instance is reachable again or restarted, or an operator confirms with this
command that its run has ended. A wrong confirmation can give one key two owners:
make sure that the lost instance's machine is off.

Send it to the service's controller, which `godwitloom status` names.";

pub fn command() -> Command {
    Command::new("gone")
        .about("Confirm that a run of an instance has ended")
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
    let response = async_io::block_on(call)?;
    if response.status != 200 {
        return Err(CommandError::Refused {
            status: response.status,
            body: response.body,
        });
    }
    print!("{}", response.body);
    Ok(())
}
