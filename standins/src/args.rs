//! Command line arguments that `standin` and `measure` share.

use clap::{Arg, value_parser};
use std::net::SocketAddr;

/// Returns a required address argument.
pub fn address_arg(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .required(true)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
}

/// Returns a number argument with a default.
pub fn number_arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
}
