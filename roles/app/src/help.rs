//! `greengagelug help [ROLE|settings|events|metrics]`.
use std::process::ExitCode;

use crate::event;
use crate::exit;
use crate::metric;
use crate::settings::command;
use crate::settings::table::Role;

const OVERVIEW: &str = "\
A layer-4 load balancer whose flows survive its own changes.

Usage: greengagelug ROLE [FLAGS]

Roles:
    entry      relays callers' datagrams; runs on entry hosts
    agent      stands beside a backend server and runs its requests
    operate    changes and shows the configuration
    call       calls a service with a bounded load and reports
    help       prints this text; `help ROLE` that of a role, and
               `help settings|events|metrics` the page of that name
";

/// Prints the help that is asked for.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    let topic = args.first().map_or("", String::as_str);
    let role = Role::ALL.into_iter().find(|role| role.name() == topic);
    match (role, topic) {
        (Some(role), _) => print!("{}", command::help(role)),
        (None, "") => print!("{OVERVIEW}"),
        (None, "settings") => print!("{}", command::page()),
        (None, "events") => print!("{}", event::page()),
        (None, "metrics") => print!("{}", metric::page()),
        (None, _) => {
            eprintln!("there is no help on `{topic}`; see `greengagelug help`");
            return ExitCode::from(exit::USAGE);
        }
    }
    ExitCode::SUCCESS
}
