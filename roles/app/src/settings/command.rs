//! Command line of a role: parsing, help and checks.
use std::fmt::Write;
use std::net::SocketAddr;

use getopts::Options;
use getopts::ParsingStyle;

use super::Format;
use super::Keys;
use super::Log;
use super::reader::Error;
use super::reader::Reader;
use super::table::Preset;
use super::table::Role;
use super::table::SETTINGS;

/// Action that the command line requests.
#[derive(Clone, Debug)]
pub enum Command<T> {
    /// Run the role with these settings.
    Run(T),
    /// Report that the settings are valid.
    Check,
    /// Print this help text.
    Help(String),
}

/// Settings of one role.
pub trait Settings: Sized {
    /// The role.
    const ROLE: Role;

    /// Reads all settings and the arguments `rest` after the flags; errors are
    /// collected in the reader.
    fn read(reader: &mut Reader<'_>, rest: &[String]) -> Self;
}

/// Parses the command line of a role; `variable` looks up an environment
/// variable.
///
/// # Errors
///
/// Returns all errors of the settings together.
pub fn read<T: Settings>(
    args: &[String],
    variable: &dyn Fn(&str) -> Option<String>,
) -> Result<Command<T>, Vec<Error>> {
    let matches = options(T::ROLE)
        .parse(args)
        .map_err(|error| vec![Error::Unreadable(error.to_string())])?;
    if matches.opt_present("help") {
        return Ok(Command::Help(help(T::ROLE)));
    }
    let mut reader = Reader::new(T::ROLE, &matches, variable);
    let settings = T::read(&mut reader, &matches.free);
    let settings = reader.finish(settings)?;
    if matches.opt_present("check") {
        return Ok(Command::Check);
    }
    Ok(Command::Run(settings))
}

/// Returns the help text of a role.
#[must_use]
pub fn help(role: Role) -> String {
    let brief = format!(
        "{}\n\nUsage: greengagelug {} [FLAGS]{}\n\nExample:\n    {}",
        about(role),
        role.name(),
        arguments(role),
        example(role),
    );
    let commands = match role {
        Role::Operate => format!("\n{}\n", crate::operator::args::USAGE),
        _ => String::new(),
    };
    let notes = "Each flag can also be set by an environment variable, for example --entries by \
        GREENGAGELUG_ENTRIES. A flag takes precedence over its variable.\n";
    format!("{}{commands}\n{notes}", options(role).usage(&brief))
}

/// Returns the content of docs/SETTINGS.md.
#[must_use]
pub fn page() -> String {
    let mut page = String::from(include_str!("page.md"));
    for setting in SETTINGS {
        let roles: Vec<&str> = setting.roles.iter().map(|role| role.name()).collect();
        let default = match setting.default {
            Preset::Required => "required".into(),
            Preset::Text("") => "empty".into(),
            Preset::Text(text) => format!("`{text}`"),
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            page,
            "| `--{}` | `{}` | {} | {} | {} | {} | {} | {} |",
            setting.name,
            setting.variable(),
            roles.join(", "),
            setting.kind,
            setting.unit,
            setting.kind.range(),
            default,
            setting.help,
        );
    }
    page
}

fn options(role: Role) -> Options {
    let mut options = Options::new();
    options.parsing_style(ParsingStyle::StopAtFirstFree);
    for setting in role.settings() {
        let mut help = setting.help.to_owned();
        let range = setting.kind.range();
        for part in [setting.unit, &range] {
            if !part.is_empty() {
                help = format!("{help}; {part}");
            }
        }
        help = match setting.default {
            Preset::Required => format!("{help} (required)"),
            Preset::Text("") => help,
            Preset::Text(text) => format!("{help} (default {text})"),
        };
        options.optopt("", setting.name, &help, &setting.kind.to_string());
    }
    options.optflag(
        "",
        "check",
        "check the settings without starting the role and exit",
    );
    options.optflag("", "help", "print this help and exit");
    options
}

const fn about(role: Role) -> &'static str {
    match role {
        Role::Entry => "Receives callers' datagrams from the fabric and relays them to agents.",
        Role::Agent => "Runs next to a backend server, announces it and forwards requests to it.",
        Role::Gateway => {
            "Receives callers' packets and forwards them to sidecars without reading their content."
        }
        Role::Sidecar => {
            "Runs next to a backend server and forwards packets to it without reading their content."
        }
        Role::Operate => "Changes and shows the configuration.",
        Role::Call => "Sends requests to a service at a fixed rate and reports the results.",
    }
}

const fn arguments(role: Role) -> &'static str {
    match role {
        Role::Operate => " COMMAND [ARGUMENTS]",
        _ => "",
    }
}

const fn example(role: Role) -> &'static str {
    match role {
        Role::Entry => {
            "greengagelug entry --listen 10.0.0.1:7000 --operator 10.0.0.1:7002 \
             --fabric 10.0.0.250:7000 --zone 1 \
             --peers 10.0.0.2:7000 --store 10.0.0.200:8000"
        }
        Role::Agent => {
            "greengagelug agent --listen 10.0.1.1:7000 --control 10.0.1.1:7001 \
             --service 10.9.0.1:5000 --backend 127.0.0.1:8080 --zone 1 \
             --seeds 10.0.0.1:7000,10.0.0.2:7000"
        }
        Role::Gateway => "greengagelug gateway --boot /etc/greengagelug/boot.json",
        Role::Sidecar => "greengagelug sidecar --boot /etc/greengagelug/boot.json",
        Role::Operate => "greengagelug operate --entries 10.0.0.1:7002 status",
        Role::Call => {
            "greengagelug call --service 10.9.0.1:5000 --flows 200 --rate 100 --duration 15"
        }
    }
}

/// Reads the format and the level of the log.
pub fn log(reader: &mut Reader<'_>) -> Log {
    let default = Log::default();
    Log {
        format: reader.choice("log-format", Format::Readable),
        level: reader.choice("log-level", default.level),
    }
}

/// Reads the keys and checks that their ids are distinct.
pub fn keys(reader: &mut Reader<'_>) -> Keys {
    let sign = reader.key("sign-key");
    let accept = reader.keys("accept-keys");
    let Some(sign) = sign else {
        return Keys::default();
    };
    let mut ids = vec![sign.id];
    for key in &accept {
        if ids.contains(&key.id) {
            reader.fail(Error::DuplicateKeyId(key.id));
        }
        ids.push(key.id);
    }
    Keys { sign, accept }
}

/// Address with the flag that sets it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// Name of the flag, without its dashes.
    pub flag: &'a str,
    /// Address.
    pub address: SocketAddr,
}

/// Reports an error if two addresses, which must be of the same transport
/// protocol, are equal. Port 0, the default of an address that could not be
/// read, is not compared.
pub fn check_distinct(reader: &mut Reader<'_>, first: Endpoint<'_>, second: Endpoint<'_>) {
    if first.address == second.address && first.address.port() != 0 {
        reader.fail(Error::DuplicateAddress {
            first: format!("--{}", first.flag),
            second: format!("--{}", second.flag),
        });
    }
}

/// Reports an error for each argument after the flags.
pub fn check_no_arguments(reader: &mut Reader<'_>, rest: &[String]) {
    for argument in rest {
        reader.fail(Error::Unexpected(argument.clone()));
    }
}
