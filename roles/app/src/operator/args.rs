//! The command line of `operate`.
use std::str::FromStr;

use api::operator as schema;
use displaydoc::Display;
use getopts::Matches;
use getopts::Options;
use thiserror::Error;

/// Forms of the command.
pub const USAGE: &str = "\
Commands of operate:
  list                               all services, with their revisions
  get ADDRESS                        one service
  status                             what is in force where
  create ADDRESS --name NAME [FIELDS]
  update ADDRESS [FIELDS]
  delete ADDRESS
  drain ADDRESS target:ID|zone:ID    no new work there
  undrain ADDRESS target:ID|zone:ID  new work again";

/// Why a command line was not accepted.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {0}; run `operate --help` for the commands
    Unreadable(#[from] getopts::Fail),
    /// unknown command `{0}`; run `operate --help` for the commands
    UnknownCommand(String),
    /// {0} is missing; give it after the command
    Missing(String),
    /// --retry needs --operation and --expected; give those that the first attempt printed
    RetryOfWhat,
    /// `{value}` is no value for {name}; run `operate --help` for its form
    Invalid {
        /// Name of the argument.
        name: String,
        /// The text given.
        value: String,
    },
}

/// One command.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// What to do.
    pub verb: Verb,
    /// Address of the service; empty where the command needs none.
    pub address: String,
    /// Revision that the change is based on; the one in the store by default.
    pub expected: Option<u64>,
    /// Names the change.
    pub operation: String,
    /// Check only.
    pub dry_run: bool,
    /// Whether an earlier attempt may have been applied.
    pub retry: bool,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Verb {
    /// Show all services.
    List {
        /// Also deleted ones.
        deleted: bool,
    },
    /// Show one service.
    Get,
    /// Show what is in force where.
    Status,
    /// Create a service.
    Create(Fields),
    /// Change fields of a service.
    Update(Fields),
    /// Delete a service.
    Delete,
    /// Drain, or end a drain.
    Drain {
        /// What to drain.
        subject: schema::drained::Subject,
        /// Whether to drain.
        on: bool,
    },
}

/// Fields given on the command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    name: Option<String>,
    binding: Option<schema::Binding>,
    hunt: Option<u32>,
    queue_limit_ms: Option<u32>,
    idle_timeout_ms: Option<u32>,
    default_deadline_ms: Option<u32>,
    largest_deadline_ms: Option<u32>,
    largest_answer_bytes: Option<u32>,
}

impl Fields {
    /// Replaces the fields that were given.
    #[must_use]
    pub fn apply(&self, service: schema::Service) -> schema::Service {
        schema::Service {
            name: self.name.clone().unwrap_or(service.name),
            binding: self.binding.map_or(service.binding, Into::into),
            hunt: self.hunt.unwrap_or(service.hunt),
            queue_limit_ms: self.queue_limit_ms.unwrap_or(service.queue_limit_ms),
            idle_timeout_ms: self.idle_timeout_ms.unwrap_or(service.idle_timeout_ms),
            default_deadline_ms: self
                .default_deadline_ms
                .unwrap_or(service.default_deadline_ms),
            largest_deadline_ms: self
                .largest_deadline_ms
                .unwrap_or(service.largest_deadline_ms),
            largest_answer_bytes: self
                .largest_answer_bytes
                .unwrap_or(service.largest_answer_bytes),
            ..service
        }
    }
}

impl Command {
    /// An empty service at the command's address.
    pub(super) fn new_service(&self) -> schema::Service {
        schema::Service {
            address: self.address.clone(),
            ..schema::Service::default()
        }
    }

    /// The request of a drain.
    pub(super) fn drain(
        &self,
        subject: schema::drained::Subject,
        on: bool,
    ) -> schema::DrainRequest {
        schema::DrainRequest {
            address: self.address.clone(),
            subject: Some(schema::Drained {
                subject: Some(subject),
            }),
            on,
            expected_revision: self.expected.unwrap_or_default(),
            operation: self.operation.clone(),
            dry_run: self.dry_run,
            retry: self.retry,
        }
    }
}

/// The flags of a command.
#[must_use]
pub fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "name", "name of the service, for people", "NAME")
        .optopt(
            "",
            "binding",
            "bound or independent; default bound",
            "BINDING",
        )
        .optopt(
            "",
            "hunt",
            "agents that an open visits, 1 to 3; default 3",
            "COUNT",
        )
        .optopt(
            "",
            "queue-limit-ms",
            "longest expected wait; default 500",
            "MS",
        )
        .optopt(
            "",
            "idle-timeout-ms",
            "idle time of a flow; default 3600000",
            "MS",
        )
        .optopt(
            "",
            "default-deadline-ms",
            "deadline where none is stated; default 2000",
            "MS",
        )
        .optopt(
            "",
            "largest-deadline-ms",
            "longest deadline; default 30000",
            "MS",
        )
        .optopt(
            "",
            "largest-answer-bytes",
            "largest answer; default 1048576",
            "BYTES",
        )
        .optopt(
            "",
            "expected",
            "revision that the change is based on; default the one read",
            "REVISION",
        )
        .optopt("", "operation", "names the change; default random", "ID")
        .optflag("", "dry-run", "check and compare only")
        .optflag(
            "",
            "retry",
            "an earlier attempt of this operation may have been applied",
        )
        .optflag("", "deleted", "list deleted services too");
    options
}

/// Reads a command.
///
/// # Errors
///
/// Any [`Error`].
pub fn parse(args: &[String]) -> Result<Command, Error> {
    let matches = options().parse(args)?;
    let mut free = matches.free.iter().cloned();
    let name = free.next().unwrap_or_default();
    let mut next = |what: &str| free.next().ok_or_else(|| Error::Missing(what.to_owned()));
    let (verb, address) = match name.as_str() {
        "list" => {
            let deleted = matches.opt_present("deleted");
            (Verb::List { deleted }, String::new())
        }
        "status" => (Verb::Status, String::new()),
        "get" => (Verb::Get, next("ADDRESS")?),
        "delete" => (Verb::Delete, next("ADDRESS")?),
        "create" => (Verb::Create(fields(&matches)?), next("ADDRESS")?),
        "update" => (Verb::Update(fields(&matches)?), next("ADDRESS")?),
        "drain" | "undrain" => {
            let address = next("ADDRESS")?;
            let subject = subject(&next("target:ID or zone:ID")?)?;
            let on = name == "drain";
            (Verb::Drain { subject, on }, address)
        }
        _ => return Err(Error::UnknownCommand(name)),
    };
    let first = ["operation", "expected"];
    if matches.opt_present("retry") && !first.iter().all(|name| matches.opt_present(name)) {
        return Err(Error::RetryOfWhat);
    }
    Ok(Command {
        verb,
        address,
        expected: value(&matches, "expected")?,
        operation: matches
            .opt_str("operation")
            .unwrap_or_else(random_operation),
        dry_run: matches.opt_present("dry-run"),
        retry: matches.opt_present("retry"),
    })
}

fn fields(matches: &Matches) -> Result<Fields, Error> {
    let binding = match matches.opt_str("binding").as_deref() {
        None => None,
        Some("bound") => Some(schema::Binding::Bound),
        Some("independent") => Some(schema::Binding::Independent),
        Some(text) => return Err(invalid("--binding", text)),
    };
    Ok(Fields {
        name: matches.opt_str("name"),
        binding,
        hunt: value(matches, "hunt")?,
        queue_limit_ms: value(matches, "queue-limit-ms")?,
        idle_timeout_ms: value(matches, "idle-timeout-ms")?,
        default_deadline_ms: value(matches, "default-deadline-ms")?,
        largest_deadline_ms: value(matches, "largest-deadline-ms")?,
        largest_answer_bytes: value(matches, "largest-answer-bytes")?,
    })
}

fn subject(text: &str) -> Result<schema::drained::Subject, Error> {
    let subject = match text.split_once(':') {
        Some(("target", id)) => id.parse().ok().map(schema::drained::Subject::Target),
        Some(("zone", id)) => id.parse().ok().map(schema::drained::Subject::Zone),
        _ => None,
    };
    subject.ok_or_else(|| invalid("target:ID or zone:ID", text))
}

fn value<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, Error> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(invalid(&format!("--{name}"), &text)),
    }
}

fn invalid(name: &str, value: &str) -> Error {
    Error::Invalid {
        name: name.to_owned(),
        value: value.to_owned(),
    }
}

fn random_operation() -> String {
    format!("{:032x}", fastrand::u128(..))
}
