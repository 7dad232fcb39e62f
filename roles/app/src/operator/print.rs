//! Output of the `operate` command.
use std::fmt::Display;

use api::operator as schema;
use schema::change_reply::Result as Change;
use schema::drained::Subject;
use schema::evacuate_reply::Result as Evacuated;
use schema::get_reply::Result as Found;

use super::args::Command;
use super::args::Verb;

/// Output and result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Text for the standard output.
    pub text: String,
    /// Result, from which the exit code follows.
    pub end: End,
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// The command was executed.
    Done,
    /// The request is invalid, or the service does not exist.
    Invalid,
    /// Another change was applied first.
    Conflict,
    /// The store or every entry failed to answer; nothing was applied.
    Unavailable,
    /// The change was not confirmed and may have been applied, or the reply has no
    /// known result.
    Unknown,
}

impl End {
    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Invalid => 2,
            Self::Conflict => 3,
            Self::Unavailable => 4,
            Self::Unknown => 5,
        }
    }
}

/// Formats the reply to a change.
pub(super) fn change(reply: &schema::ChangeReply, command: &Command) -> Output {
    let mut output = match &reply.result {
        Some(Change::Accepted(accepted)) => accepted_line(accepted, &command.operation),
        Some(Change::Checked(checked)) => line(
            End::Done,
            format!(
                "checked against revision {}; nothing written (dry run)",
                checked.revision
            ),
        ),
        Some(Change::Conflict(conflict)) => line(
            End::Conflict,
            format!(
                "conflict with revision {} of operation {} (this change: {}); read the service and try again",
                conflict.winner_revision,
                conflict.winner_operation,
                effect(conflict.outcome()),
            ),
        ),
        Some(Change::Invalid(invalid)) => problems(invalid),
        Some(Change::Unavailable(unavailable)) => self::unavailable(unavailable, command),
        None => line(
            End::Unknown,
            "the entry's reply has no known result; upgrade the older of entry and command",
        ),
    };
    output.text.extend(reply.differences.iter().map(difference));
    output
}

/// Formats one service.
pub(super) fn get(reply: schema::GetReply) -> Output {
    match reply.result {
        Some(Found::Stored(stored)) => line(End::Done, service(&stored)),
        Some(Found::Missing(_)) => line(End::Invalid, "no such service; create it first"),
        Some(Found::Invalid(invalid)) => problems(&invalid),
        Some(Found::Unavailable(unavailable)) => refused(&unavailable),
        None => line(
            End::Unknown,
            "the entry's reply has no known result; upgrade the older of entry and command",
        ),
    }
}

/// Formats all services.
pub(super) fn list(reply: &schema::ListReply) -> Output {
    if let Some(unavailable) = &reply.unavailable {
        return refused(unavailable);
    }
    let mut lines: Vec<String> = reply.services.iter().map(service).collect();
    if reply.malformed > 0 {
        let count = reply.malformed;
        lines.push(format!(
            "{count} services could not be decoded; upgrade this entry"
        ));
    }
    done(lines)
}

/// Formats the reply to the evacuation or the restore of a zone.
pub(super) fn evacuate(reply: &schema::EvacuateReply, on: bool) -> Output {
    let state = if on { "evacuated" } else { "restored" };
    match &reply.result {
        Some(Evacuated::Stored(stored)) => line(
            End::Done,
            format!(
                "zone {} {state} as of revision {}",
                stored.zone, stored.revision
            ),
        ),
        Some(Evacuated::Invalid(invalid)) => problems(invalid),
        Some(Evacuated::Unavailable(unavailable)) => Output {
            end: match unavailable.outcome() {
                schema::Outcome::Unknown => End::Unknown,
                _ => End::Unavailable,
            },
            ..refused(unavailable)
        },
        None => line(
            End::Unknown,
            "the entry's reply has no known result; upgrade the older of entry and command",
        ),
    }
}

/// Formats the evacuated zones.
pub(super) fn zones(reply: &schema::ZonesReply) -> Output {
    if let Some(unavailable) = &reply.unavailable {
        return refused(unavailable);
    }
    let zones = reply.zones.iter();
    done(zones.map(|zone| {
        format!(
            "zone {} evacuated as of revision {}",
            zone.zone, zone.revision
        )
    }))
}

/// Formats the status that an entry reports.
pub(super) fn status(reply: &schema::StatusReply) -> Output {
    let in_force = reply
        .services
        .iter()
        .map(|service| format!("in force: {}", in_force(service)));
    let processes = reply.processes.iter().map(process);
    let targets = reply.targets.iter().map(target);
    let counters = reply
        .counters
        .iter()
        .map(|counter| format!("counter: {} {}", counter.name, counter.value));
    done(in_force.chain(processes).chain(targets).chain(counters))
}

fn process(process: &schema::Process) -> String {
    let services: Vec<String> = process.services.iter().map(in_force).collect();
    format!(
        "{}: {} zone {} silent {} ms [{}]",
        process.role().as_str_name().to_lowercase(),
        process.address,
        process.zone,
        process.silent_ms,
        services.join(", "),
    )
}

fn target(target: &schema::TargetStatus) -> String {
    format!(
        "target: {} of {} at {} zone {} {} weight {}/s slots {}",
        target.target,
        target.service,
        target.agent,
        target.zone,
        target.health().as_str_name().to_lowercase(),
        target.weight,
        target.slots,
    )
}

fn difference(difference: &schema::Difference) -> String {
    let schema::Difference {
        field,
        before,
        after,
    } = difference;
    format!("  {field}: {before} -> {after}\n")
}

fn accepted_line(accepted: &schema::Accepted, operation: &str) -> Output {
    let schema::Accepted {
        revision,
        replaced_by,
    } = accepted;
    let replaced = match replaced_by {
        0 => String::new(),
        newer => format!(", replaced since by revision {newer}"),
    };
    line(
        End::Done,
        format!("accepted as revision {revision} (operation {operation}){replaced}"),
    )
}

/// Formats the reply to a change that the store did not confirm.
pub(super) fn unavailable(unavailable: &schema::Unavailable, command: &Command) -> Output {
    let mut output = refused(unavailable);
    if unavailable.outcome() == schema::Outcome::Unknown {
        output.end = End::Unknown;
        output.text += &(retry_hint(command) + "\n");
    }
    output
}

/// Formats the result of a command that no entry answered.
pub(super) fn no_answer(reason: &str, command: &Command) -> Output {
    let (end, remedy) = if command.retry {
        (End::Unknown, retry_hint(command))
    } else {
        let remedy = "not applied; check the addresses given with --entries";
        (End::Unavailable, remedy.to_owned())
    };
    line(
        end,
        format!("no entry answered (last error: {reason}); {remedy}"),
    )
}

/// Returns the flags to repeat a change with, so that the reply tells its outcome.
pub(super) fn retry_hint(command: &Command) -> String {
    if let Verb::Evacuate { .. } = command.verb {
        return "it may have been applied; repeat the command, which has no further effect then"
            .to_owned();
    }
    format!(
        "repeat it with --operation {} --expected {} --retry to learn its outcome",
        command.operation,
        command.expected.unwrap_or_default(),
    )
}

fn refused(unavailable: &schema::Unavailable) -> Output {
    line(
        End::Unavailable,
        format!(
            "refused ({}): {}; try again after {} ms",
            effect(unavailable.outcome()),
            unavailable.reason,
            unavailable.retry_after_ms,
        ),
    )
}

fn effect(outcome: schema::Outcome) -> &'static str {
    match outcome {
        schema::Outcome::Unknown => "may have been applied",
        schema::Outcome::Unspecified | schema::Outcome::NotApplied => "not applied",
    }
}

fn problems(invalid: &schema::Invalid) -> Output {
    line(End::Invalid, invalid.problems.join("\n"))
}

fn service(stored: &schema::Stored) -> String {
    let service = stored.service.clone().unwrap_or_default();
    let drained: Vec<String> = service.drained.iter().map(drained).collect();
    format!(
        "{} {} {} {} revision {} operation {} hunt {} queue {} ms idle {} ms \
         deadline {}/{} ms answer {} bytes drained [{}]",
        service.address,
        service.name,
        service.state().as_str_name().to_lowercase(),
        service.binding().as_str_name().to_lowercase(),
        stored.revision,
        stored.operation,
        service.hunt,
        service.queue_limit_ms,
        service.idle_timeout_ms,
        service.default_deadline_ms,
        service.largest_deadline_ms,
        service.largest_answer_bytes,
        drained.join(", "),
    )
}

fn drained(drained: &schema::Drained) -> String {
    match drained.subject {
        Some(Subject::Target(target)) => format!("target:{target}"),
        Some(Subject::Zone(zone)) => format!("zone:{zone}"),
        None => "?".to_owned(),
    }
}

fn in_force(service: &schema::InForce) -> String {
    format!("{} revision {}", service.address, service.revision)
}

fn done(lines: impl IntoIterator<Item = String>) -> Output {
    Output {
        text: lines.into_iter().map(|line| line + "\n").collect(),
        end: End::Done,
    }
}

fn line(end: End, text: impl Display) -> Output {
    Output {
        text: format!("{text}\n"),
        end,
    }
}
