//! Conversions between the operators' protocol messages and the configuration.
use std::net::SocketAddr;
use std::time::Duration;

use api::operator as schema;
use config::Binding;
use config::Drained;
use config::Problem;
use config::Record;
use config::Service;
use config::State;
use config::change::Edit;
use config::change::Effect;
use config::change::Outcome;
use config::change::Request;
use config::diff::Difference;
use config::era;
use schema::apply_request::Change;
use schema::change_reply::Result as Reply;
use schema::drained::Subject;
use wire::Revision;

/// Parses a service address.
pub(super) fn address(text: &str) -> Result<SocketAddr, Vec<Problem>> {
    text.parse().map_err(|_| vec![Problem::Address])
}

/// Converts a request that creates, updates or deletes a service.
pub(super) fn apply(request: schema::ApplyRequest) -> Result<Request, Vec<Problem>> {
    let (address, edit) = match request.change {
        None => return Err(vec![Problem::NoChange]),
        Some(Change::Create(service)) => {
            let service = self::service(service)?;
            (service.address, Edit::Create(service))
        }
        Some(Change::Update(service)) => {
            let service = self::service(service)?;
            (service.address, Edit::Update(service))
        }
        Some(Change::Delete(address)) => (self::address(&address)?, Edit::Delete),
    };
    Ok(Request {
        address,
        edit,
        expected: Some(Revision::from(request.expected_revision)),
        operation: request.operation,
        dry_run: request.dry_run,
        retry: request.retry,
    })
}

/// Converts a request that starts or ends a drain.
pub(super) fn drain(request: schema::DrainRequest) -> Result<Request, Vec<Problem>> {
    let subject = subject(request.subject)?;
    let edit = if request.on {
        Edit::Drain(subject)
    } else {
        Edit::Undrain(subject)
    };
    Ok(Request {
        address: address(&request.address)?,
        edit,
        expected: Some(Revision::from(request.expected_revision)).filter(|revision| *revision != 0),
        operation: request.operation,
        dry_run: request.dry_run,
        retry: request.retry,
    })
}

fn subject(drained: Option<schema::Drained>) -> Result<Drained, Vec<Problem>> {
    match drained.and_then(|drained| drained.subject) {
        Some(Subject::Target(target)) => Ok(Drained::Target(target)),
        Some(Subject::Zone(zone)) => zone
            .try_into()
            .map(Drained::Zone)
            .map_err(|_| vec![Problem::Subject]),
        None => Err(vec![Problem::Subject]),
    }
}

fn service(service: schema::Service) -> Result<Service, Vec<Problem>> {
    let binding = match service.binding() {
        schema::Binding::Unspecified | schema::Binding::Bound => Binding::Bound,
        schema::Binding::Independent => Binding::Independent,
    };
    let default = Service::new(address(&service.address)?);
    let drained = service
        .drained
        .into_iter()
        .map(|drained| subject(Some(drained)))
        .collect::<Result<_, _>>()?;
    Ok(Service {
        name: service.name,
        binding,
        hunt: match service.hunt {
            0 => default.hunt,
            hunt => hunt.try_into().map_err(|_| vec![Problem::Hunt])?,
        },
        queue_limit: duration_or(service.queue_limit_ms, default.queue_limit),
        idle_timeout: duration_or(service.idle_timeout_ms, default.idle_timeout),
        default_deadline: duration_or(service.default_deadline_ms, default.default_deadline),
        largest_deadline: duration_or(service.largest_deadline_ms, default.largest_deadline),
        largest_answer_bytes: match service.largest_answer_bytes {
            0 => default.largest_answer_bytes,
            bytes => bytes,
        },
        drained,
        ..default
    })
}

fn duration_or(ms: u32, default: Duration) -> Duration {
    match ms {
        0 => default,
        ms => Duration::from_millis(ms.into()),
    }
}

/// Returns whole milliseconds, saturated at the range of the protocol field.
pub(super) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Converts a stored service.
pub(super) fn stored(record: Record, revision: Revision) -> schema::Stored {
    let service = record.service;
    let binding = match service.binding {
        Binding::Bound => schema::Binding::Bound,
        Binding::Independent => schema::Binding::Independent,
    };
    let state = match service.state {
        State::Active => schema::State::Active,
        State::Deleted => schema::State::Deleted,
    };
    let drained = service.drained.iter().map(|drained| schema::Drained {
        subject: Some(match drained {
            Drained::Target(target) => Subject::Target(*target),
            Drained::Zone(zone) => Subject::Zone(u32::from(*zone)),
        }),
    });
    schema::Stored {
        operation: service.operation.clone(),
        revision: era::number(revision),
        service: Some(schema::Service {
            address: service.address.to_string(),
            drained: drained.collect(),
            binding: binding.into(),
            hunt: service.hunt.into(),
            queue_limit_ms: millis(service.queue_limit),
            idle_timeout_ms: millis(service.idle_timeout),
            default_deadline_ms: millis(service.default_deadline),
            largest_deadline_ms: millis(service.largest_deadline),
            largest_answer_bytes: service.largest_answer_bytes,
            state: state.into(),
            name: service.name,
        }),
    }
}

/// Converts the problems of a rejected request.
pub(super) fn invalid(problems: &[Problem]) -> schema::Invalid {
    schema::Invalid {
        problems: problems.iter().map(ToString::to_string).collect(),
    }
}

/// Converts the outcome of a change.
pub(super) fn outcome(outcome: Outcome) -> schema::ChangeReply {
    let (result, differences) = match outcome {
        Outcome::Accepted {
            revision,
            replaced_by,
            differences,
            latest: _,
        } => {
            let replaced_by = replaced_by.unwrap_or_default();
            let accepted = schema::Accepted {
                revision: era::number(revision),
                replaced_by: era::number(replaced_by),
            };
            (Reply::Accepted(accepted), differences)
        }
        Outcome::Checked {
            revision,
            differences,
        } => {
            let revision = era::number(revision);
            (Reply::Checked(schema::Checked { revision }), differences)
        }
        Outcome::Conflict {
            winner,
            operation,
            effect,
        } => {
            let conflict = schema::Conflict {
                winner_revision: era::number(winner),
                winner_operation: operation,
                outcome: self::effect(effect).into(),
            };
            (Reply::Conflict(conflict), Vec::new())
        }
        Outcome::Invalid(problems) => (Reply::Invalid(invalid(&problems)), Vec::new()),
        Outcome::Unavailable {
            fault,
            effect,
            retry_after,
        } => {
            let unavailable = schema::Unavailable {
                retry_after_ms: millis(retry_after),
                outcome: self::effect(effect).into(),
                reason: fault.to_string(),
            };
            (Reply::Unavailable(unavailable), Vec::new())
        }
    };
    schema::ChangeReply {
        result: Some(result),
        differences: differences.into_iter().map(difference).collect(),
    }
}

fn effect(effect: Effect) -> schema::Outcome {
    match effect {
        Effect::NotApplied => schema::Outcome::NotApplied,
        Effect::Unknown => schema::Outcome::Unknown,
    }
}

fn difference(line: Difference) -> schema::Difference {
    schema::Difference {
        field: line.field,
        before: line.before,
        after: line.after,
    }
}
