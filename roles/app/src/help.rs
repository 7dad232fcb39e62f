//! The command `greengagelug help [ROLE|settings|events|metrics]`.
use std::process::ExitCode;

use crate::event;
use crate::exit;
use crate::metric;
use crate::settings::command;
use crate::settings::table::Role;

const OVERVIEW: &str = "\
A layer-4 load balancer that keeps flows open across restarts and
configuration changes.

Usage: greengagelug ROLE [FLAGS]

Roles:
    entry      relays callers' datagrams to agents; runs on entry hosts
    agent      runs next to a backend server and forwards requests to it
    operate    changes and shows the configuration
    call       sends requests to a service at a fixed rate and reports
               the results
    help       prints this text; `help ROLE` describes a role, and
               `help settings|events|metrics` prints that reference page
";

/// Prints the overview, the help of the role that the first argument names, or
/// a reference page. Returns [`exit::USAGE`] for any other topic.
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
            eprintln!("unknown help topic `{topic}`; run `greengagelug help` for the topics");
            return ExitCode::from(exit::USAGE);
        }
    }
    ExitCode::SUCCESS
}
