//! Request payloads whose answers can be verified.
//!
//! A payload starts with a line that names the request and is padded with
//! repetitions of that name. The expected answer is the service's name and a
//! line break, followed by the payload once or several times; the last
//! repetition may be truncated.
use displaydoc::Display;
use thiserror::Error;
use wire::FlowKey;
use wire::RequestId;

/// Reason why an answer fails the check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// the answer came from another service; check which backend servers are announced for the service address
    WrongService,
    /// the answer is truncated or does not belong to this request; report this as a bug
    Mismatch,
}

/// Returns the name of a request, unique across all flows.
#[must_use]
pub fn name(flow: FlowKey, request: RequestId) -> String {
    format!("{flow:016x}-{request:016x}")
}

/// Builds the payload of a request, of at least `size` bytes.
#[must_use]
pub fn build(name: &str, size: usize) -> Vec<u8> {
    let mut payload = format!("{name}\n").into_bytes();
    let filler = name.bytes().cycle();
    let missing = size.saturating_sub(payload.len());
    payload.extend(filler.take(missing));
    payload
}

/// Checks that an answer is the complete answer to `payload` and comes from
/// `service`; an empty name accepts any service.
///
/// # Errors
///
/// Returns an [`enum@Error`] if it is not.
pub fn check(answer: &[u8], service: &str, payload: &[u8]) -> Result<(), Error> {
    let end = answer.iter().position(|byte| *byte == b'\n');
    let (name, body) = answer.split_at(end.ok_or(Error::Mismatch)?);
    if !service.is_empty() && name != service.as_bytes() {
        return Err(Error::WrongService);
    }
    let body = &body[1..];
    let is_complete = body.len() >= payload.len();
    let is_repetition = body.iter().eq(payload.iter().cycle().take(body.len()));
    if is_complete && is_repetition {
        Ok(())
    } else {
        Err(Error::Mismatch)
    }
}
