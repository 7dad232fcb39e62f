//! Execution of the `operate` command.
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
use super::print::Output;

/// Error that keeps a command from being sent to any entry.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// {0}
    Usage(#[from] args::Error),
    /// no entry was given; give the operator address of at least one with --entries
    NoEntry,
}

/// Runs one operator command at the first entry that answers.
///
/// `args` holds the command and its arguments, as in `get 192.0.2.1:5000`.
/// `timeout` bounds the attempt at each entry.
///
/// # Errors
///
/// Returns [`Error::Usage`] if the arguments are wrong and [`Error::NoEntry`] if
/// `entries` is empty. All other outcomes are reported in [`Output`].
pub async fn run(
    entries: &[SocketAddr],
    timeout: Duration,
    args: &[String],
    executor: Arc<Executor<'static>>,
) -> Result<Output, Error> {
    let mut command = args::parse(args)?;
    let mut reason = None;
    for entry in entries {
        let expire = async {
            Timer::after(timeout).await;
            let text = format!("no answer within {} s (--timeout)", timeout.as_secs());
            Err(Status::deadline_exceeded(text))
        };
        let attempt = attempt(*entry, &mut command, executor.clone());
        match attempt.or(expire).await {
            Ok(output) => return Ok(output),
            Err(status) => reason = Some(format!("{entry}: {}", status.message())),
        }
    }
    match reason {
        None => Err(Error::NoEntry),
        Some(reason) => Ok(print::no_answer(&reason, &command)),
    }
}

async fn attempt(
    entry: SocketAddr,
    command: &mut Command,
    executor: Arc<Executor<'static>>,
) -> Result<Output, Status> {
    let mut client = client::connect(entry, executor)
        .await
        .map_err(|error| Status::unavailable(error.to_string()))?;
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
        args::Verb::Evacuate { zone, on } => {
            let zone = zone.into();
            command.retry = true;
            let reply = client
                .evacuate(schema::EvacuateRequest { zone, on })
                .await?;
            Ok(print::evacuate(&reply.into_inner(), on))
        }
        args::Verb::Zones => {
            let reply = client.zones(schema::ZonesRequest {}).await?;
            Ok(print::zones(&reply.into_inner()))
        }
        args::Verb::Create(fields) => {
            let service = fields.apply(command.new_service());
            if command.expected.is_none() {
                command.expected = Some(deleted_revision(&mut client, command).await?);
            }
            apply(&mut client, command, Change::Create(service)).await
        }
        args::Verb::Update(_) | args::Verb::Delete | args::Verb::Drain { .. } => {
            change(&mut client, command).await
        }
    }
}

/// Returns the revision at which a service was deleted, on which its creation is
/// based.
///
/// Returns 0 if the service exists, never existed or cannot be read; the write to
/// the store then decides whether it can be created.
async fn deleted_revision(client: &mut Client, command: &Command) -> Result<u64, Status> {
    let address = command.address.clone();
    let reply = client.get(schema::GetRequest { address }).await?;
    let Some(Found::Stored(stored)) = reply.into_inner().result else {
        return Ok(0);
    };
    let service = stored.service.unwrap_or_default();
    match service.state() {
        schema::State::Deleted => Ok(stored.revision),
        _ => Ok(0),
    }
}

/// Reads the service and changes it, based on the expected revision if one is
/// given and on the revision read otherwise.
async fn change(client: &mut Client, command: &mut Command) -> Result<Output, Status> {
    let address = command.address.clone();
    let reply = client.get(schema::GetRequest { address }).await?;
    let stored = match reply.into_inner().result {
        Some(Found::Stored(stored)) => stored,
        Some(Found::Unavailable(unavailable)) if command.retry => {
            // An earlier attempt may have been applied.
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
            let request = command.drain(subject, on);
            command.retry |= !command.dry_run;
            let reply = client.drain(request).await?;
            Ok(print::change(&reply.into_inner(), command))
        }
        _ => {
            let address = command.address.clone();
            apply(client, command, Change::Delete(address)).await
        }
    }
}

async fn apply(
    client: &mut Client,
    command: &mut Command,
    change: Change,
) -> Result<Output, Status> {
    let request = schema::ApplyRequest {
        change: Some(change),
        expected_revision: command.expected.unwrap_or_default(),
        operation: command.operation.clone(),
        dry_run: command.dry_run,
        retry: command.retry,
    };
    // Once the request is sent, the change may be applied even if no answer
    // arrives; the attempt at the next entry is then a retry.
    command.retry |= !command.dry_run;
    let reply = client.apply(request).await?;
    Ok(print::change(&reply.into_inner(), command))
}
