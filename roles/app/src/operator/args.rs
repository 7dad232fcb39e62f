//! Command line of `operate`: commands, flags and parsing.
use std::str::FromStr;

use api::operator as schema;
use displaydoc::Display;
use getopts::Matches;
use getopts::Options;
use thiserror::Error;
use wire::ZoneId;

/// Summary of the commands for the help of `operate`.
pub const USAGE: &str = "\
Commands of operate:
  list                               show all services with their revisions
  get ADDRESS                        show one service
  status                             show which revisions are in force, the targets
                                     and the counters
  create ADDRESS --name NAME [FIELDS]
                                     create a service
  update ADDRESS [FIELDS]            change fields of a service
  delete ADDRESS                     delete a service
  drain ADDRESS target:ID|zone:ID    open no new flows at a target or zone; existing
                                     ones continue
  undrain ADDRESS target:ID|zone:ID  end a drain
  evacuate ZONE                      open no new flows of any service in a zone;
                                     existing ones continue
  restore ZONE                       end the evacuation of a zone
  zones                              show the evacuated zones with their revisions";

/// Error in the command line of `operate`.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {0}; run `operate --help` for the commands
    Unreadable(#[from] getopts::Fail),
    /// unknown command `{0}`; run `operate --help` for the commands
    UnknownCommand(String),
    /// missing argument {0}; give it after the command
    Missing(String),
    /// --retry needs --operation and --expected; give the values that the first attempt printed
    IncompleteRetry,
    /// invalid value `{value}` for {name}; run `operate --help` for the accepted values
    Invalid {
        /// Name of the flag or argument.
        name: String,
        /// Rejected text.
        value: String,
    },
}

/// A parsed command line of `operate`.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Command with its own arguments.
    pub verb: Verb,
    /// Service address; empty for commands without one.
    pub address: String,
    /// Revision that the change is based on; by default the one that is read from
    /// the store before the change.
    pub expected: Option<u64>,
    /// Identifier of the change, by which a retry recognises it as applied.
    pub operation: String,
    /// Whether to check the change and show the differences without writing.
    pub dry_run: bool,
    /// Whether an earlier attempt with the same operation identifier may have
    /// been applied.
    pub retry: bool,
}

/// Command of `operate`.
#[derive(Clone, Debug, PartialEq)]
pub enum Verb {
    /// Show all services.
    List {
        /// Whether to include deleted services.
        deleted: bool,
    },
    /// Show one service.
    Get,
    /// Show the revisions in force, the targets and the counters of an entry.
    Status,
    /// Evacuate a zone or restore it.
    Evacuate {
        /// The zone.
        zone: ZoneId,
        /// Whether to evacuate it; otherwise it is restored.
        on: bool,
    },
    /// Show the evacuated zones.
    Zones,
    /// Create a service.
    Create(Fields),
    /// Change fields of a service.
    Update(Fields),
    /// Delete a service.
    Delete,
    /// Drain a target or zone, or end the drain. A drained target opens no new
    /// flows; existing ones continue.
    Drain {
        /// Target or zone.
        subject: schema::drained::Subject,
        /// Whether to start the drain; otherwise it is ended.
        on: bool,
    },
}

/// Fields of a service given on the command line.
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
    /// Returns `service` with the given fields replaced.
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
    /// Returns a service with the command's address and no other fields set.
    pub(super) fn new_service(&self) -> schema::Service {
        schema::Service {
            address: self.address.clone(),
            ..schema::Service::default()
        }
    }

    /// Builds the request that starts or ends a drain.
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

/// Returns the flags of all commands.
#[must_use]
pub fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("", "name", "readable name of the service", "NAME")
        .optopt(
            "",
            "binding",
            "bound (requests run at the flow's backend server only) or \
             independent (at any backend server of the service); default bound",
            "BINDING",
        )
        .optopt(
            "",
            "hunt",
            "number of agents that the open of a flow is offered to, 1 to 3; default 3",
            "COUNT",
        )
        .optopt(
            "",
            "queue-limit-ms",
            "longest expected wait in the queue of an agent; default 500",
            "MS",
        )
        .optopt(
            "",
            "idle-timeout-ms",
            "idle time after which a flow expires; default 3600000",
            "MS",
        )
        .optopt(
            "",
            "default-deadline-ms",
            "deadline of requests that state none; default 2000",
            "MS",
        )
        .optopt(
            "",
            "largest-deadline-ms",
            "longest deadline of a request, longer ones are shortened; default 30000",
            "MS",
        )
        .optopt(
            "",
            "largest-answer-bytes",
            "largest size of an answer; default 1048576",
            "BYTES",
        )
        .optopt(
            "",
            "expected",
            "revision that the change is based on; default the one in the store",
            "REVISION",
        )
        .optopt(
            "",
            "operation",
            "identifier of the change; default random",
            "ID",
        )
        .optflag(
            "",
            "dry-run",
            "check the change and show the differences without writing",
        )
        .optflag(
            "",
            "retry",
            "an earlier attempt of this operation may have been applied",
        )
        .optflag("", "deleted", "include deleted services in the list");
    options
}

/// Parses the command and its arguments.
///
/// # Errors
///
/// Returns an [`enum@Error`] if they are not accepted.
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
        "zones" => (Verb::Zones, String::new()),
        "evacuate" | "restore" => {
            let text = next("ZONE")?;
            let zone = text.parse().map_err(|_| invalid("ZONE", &text))?;
            let on = name == "evacuate";
            (Verb::Evacuate { zone, on }, String::new())
        }
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
    let required = ["operation", "expected"];
    if matches.opt_present("retry") && !required.iter().all(|name| matches.opt_present(name)) {
        return Err(Error::IncompleteRetry);
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
