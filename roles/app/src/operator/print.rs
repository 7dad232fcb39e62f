//! What the `operate` command shows.
use std::fmt::Display;

use api::operator as schema;
use schema::change_reply::Result as Change;
use schema::drained::Subject;
use schema::get_reply::Result as Found;

/// What a command printed, and how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Printed {
    /// Text for the standard output.
    pub text: String,
    /// How it ended.
    pub end: End,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// As asked.
    Done,
    /// The request is wrong.
    Invalid,
    /// Another change was first.
    Conflict,
    /// The store did not answer, and nothing was applied.
    Unavailable,
    /// The store did not answer, and the change may have been applied.
    Unknown,
}

impl End {
    /// Exit code of the process.
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

/// The reply to a change.
pub(super) fn change(reply: &schema::ChangeReply, operation: &str) -> Printed {
    let mut printed = match &reply.result {
        Some(Change::Accepted(accepted)) => accepted_line(accepted, operation),
        Some(Change::Checked(checked)) => line(
            End::Done,
            format!(
                "checked against revision {}; nothing written",
                checked.revision
            ),
        ),
        Some(Change::Conflict(conflict)) => line(
            End::Conflict,
            format!(
                "conflict: revision {} of operation {} was first ({}); read it and try again",
                conflict.winner_revision,
                conflict.winner_operation,
                effect(conflict.outcome()),
            ),
        ),
        Some(Change::Invalid(invalid)) => problems(invalid),
        Some(Change::Unavailable(unavailable)) => refused(unavailable, operation),
        None => line(
            End::Unknown,
            "the entry's reply is empty; upgrade the older side",
        ),
    };
    for difference in &reply.differences {
        let schema::Difference {
            field,
            before,
            after,
        } = difference;
        printed.text += &format!("  {field}: {before} -> {after}\n");
    }
    printed
}

/// One service.
pub(super) fn get(reply: schema::GetReply) -> Printed {
    match reply.result {
        Some(Found::Stored(stored)) => line(End::Done, service(&stored)),
        Some(Found::Missing(_)) => line(End::Invalid, "no such service; create it first"),
        Some(Found::Invalid(invalid)) => problems(&invalid),
        Some(Found::Unavailable(unavailable)) => refused(&unavailable, ""),
        None => line(
            End::Unknown,
            "the entry's reply is empty; upgrade the older side",
        ),
    }
}

/// All services.
pub(super) fn list(reply: &schema::ListReply) -> Printed {
    if let Some(unavailable) = &reply.unavailable {
        return refused(unavailable, "");
    }
    let mut text: String = reply
        .services
        .iter()
        .map(|stored| service(stored) + "\n")
        .collect();
    if reply.malformed > 0 {
        text += &format!(
            "{} records cannot be read; upgrade this entry\n",
            reply.malformed
        );
    }
    Printed {
        text,
        end: End::Done,
    }
}

/// What is in force where.
pub(super) fn status(reply: &schema::StatusReply) -> Printed {
    let mut text = String::new();
    for service in &reply.services {
        text += &format!("in force: {}\n", in_force(service));
    }
    for process in &reply.processes {
        let services: Vec<String> = process.services.iter().map(in_force).collect();
        text += &format!(
            "{}: {} zone {} silent {} ms [{}]\n",
            process.role().as_str_name().to_lowercase(),
            process.address,
            process.zone,
            process.silent_ms,
            services.join(", "),
        );
    }
    for target in &reply.targets {
        text += &format!(
            "target: {} of {} at {} zone {} {} weight {}/s slots {}\n",
            target.target,
            target.service,
            target.agent,
            target.zone,
            target.health().as_str_name().to_lowercase(),
            target.weight,
            target.slots,
        );
    }
    for counter in &reply.counters {
        text += &format!("counter: {} {}\n", counter.name, counter.value);
    }
    Printed {
        text,
        end: End::Done,
    }
}

fn accepted_line(accepted: &schema::Accepted, operation: &str) -> Printed {
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

fn refused(unavailable: &schema::Unavailable, operation: &str) -> Printed {
    let end = match unavailable.outcome() {
        schema::Outcome::Unknown => End::Unknown,
        schema::Outcome::Unspecified | schema::Outcome::NotApplied => End::Unavailable,
    };
    let repeat = match end {
        End::Unknown => format!(" with --operation {operation} --retry"),
        _ => String::new(),
    };
    line(
        end,
        format!(
            "refused ({}): {}; try again after {} ms{repeat}",
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

fn problems(invalid: &schema::Invalid) -> Printed {
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

fn line(end: End, text: impl Display) -> Printed {
    Printed {
        text: format!("{text}\n"),
        end,
    }
}
