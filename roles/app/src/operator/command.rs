//! The `operate` command.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use api::operator as schema;
use async_io::Timer;
use displaydoc::Display;
use futures_lite::FutureExt;
use schema::apply_request::Change;
use schema::get_reply::Result as Found;
use smol::Executor;
use thiserror::Error;
use tonic::Status;

use super::args;
use super::args::Command;
use super::client;
use super::client::Client;
use super::print;
use super::print::Printed;

/// Why a command had no answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {0}
    Usage(#[from] args::Error),
    /// no entry was given; name the operator address of one with --entries
    NoEntry,
    /// no entry answered, the last error being: {reason}; {remedy}
    NoAnswer {
        /// The last error.
        reason: String,
        /// What to do.
        remedy: String,
    },
}

/// Runs one command of an operator against the first entry that answers.
///
/// `args` holds the command and its arguments, as in `get 192.0.2.1:5000`.
/// `timeout` bounds each try of an entry.
///
/// # Errors
///
/// [`Error::Usage`] where the arguments are wrong, [`Error::NoAnswer`] where no
/// entry answered. All other outcomes are in what is [`Printed`].
pub async fn run(
    entries: &[SocketAddr],
    timeout: Duration,
    args: &[String],
    executor: Arc<Executor<'static>>,
) -> Result<Printed, Error> {
    let mut command = args::parse(args)?;
    let mut reason = None;
    for entry in entries {
        let link = match client::connect(*entry, executor.clone()).await {
            Ok(link) => link,
            Err(error) => {
                reason = Some(format!("{entry}: {error}"));
                continue;
            }
        };
        let expire = async {
            Timer::after(timeout).await;
            Err(Status::deadline_exceeded(
                "the entry did not answer in time",
            ))
        };
        match attempt(link, &mut command).or(expire).await {
            Ok(printed) => return Ok(printed),
            Err(status) => reason = Some(format!("{entry}: {}", status.message())),
        }
        // The entry may have applied the change before it fell silent.
        command.retry = true;
    }
    Err(match reason {
        None => Error::NoEntry,
        Some(reason) => Error::NoAnswer {
            reason,
            remedy: if command.retry {
                print::repeat(&command)
            } else {
                "check the addresses given with --entries".to_owned()
            },
        },
    })
}

async fn attempt(mut client: Client, command: &mut Command) -> Result<Printed, Status> {
    match command.verb.clone() {
        args::Verb::Status => {
            let reply = client.status(schema::StatusRequest {}).await?;
            Ok(print::status(&reply.into_inner()))
        }
        args::Verb::List { deleted } => {
            let reply = client.list(schema::ListRequest { deleted }).await?;
            Ok(print::list(&reply.into_inner()))
        }
        args::Verb::Get => {
            let address = command.address.clone();
            let reply = client.get(schema::GetRequest { address }).await?;
            Ok(print::get(reply.into_inner()))
        }
        args::Verb::Create(fields) => {
            let service = fields.apply(command.new_service());
            command.expected.get_or_insert_default();
            apply(&mut client, command, Change::Create(service)).await
        }
        args::Verb::Update(_) | args::Verb::Delete | args::Verb::Drain { .. } => {
            change(&mut client, command).await
        }
    }
}

/// Reads the service, then changes it on the revision read.
async fn change(client: &mut Client, command: &mut Command) -> Result<Printed, Status> {
    let address = command.address.clone();
    let reply = client.get(schema::GetRequest { address }).await?;
    let stored = match reply.into_inner().result {
        Some(Found::Stored(stored)) => stored,
        Some(Found::Unavailable(unavailable)) if command.retry => {
            let outcome = schema::Outcome::Unknown.into();
            let unavailable = schema::Unavailable {
                outcome,
                ..unavailable
            };
            return Ok(print::unavailable(&unavailable, command));
        }
        result => return Ok(print::get(schema::GetReply { result })),
    };
    command.expected.get_or_insert(stored.revision);
    match command.verb.clone() {
        args::Verb::Update(fields) => {
            let service = fields.apply(stored.service.unwrap_or_default());
            apply(client, command, Change::Update(service)).await
        }
        args::Verb::Drain { subject, on } => {
            let reply = client.drain(command.drain(subject, on)).await?;
            Ok(print::change(&reply.into_inner(), command))
        }
        _ => apply(client, command, Change::Delete(command.address.clone())).await,
    }
}

async fn apply(client: &mut Client, command: &Command, change: Change) -> Result<Printed, Status> {
    let request = schema::ApplyRequest {
        change: Some(change),
        expected_revision: command.expected.unwrap_or_default(),
        operation: command.operation.clone(),
        dry_run: command.dry_run,
        retry: command.retry,
    };
    let reply = client.apply(request).await?;
    Ok(print::change(&reply.into_inner(), command))
}
