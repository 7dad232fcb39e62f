//! Payloads whose answers can be checked.
//!
//! A payload starts with a line that names the request and is filled up with
//! characters derived from that name. The answer to it is the service's name
//! and a line break, then the payload, once or more, the last one perhaps cut.
use displaydoc::Display;
use thiserror::Error;
use wire::FlowKey;
use wire::RequestId;

/// Why an answer is not the one to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// the answer is from another service; check which backend servers are announced for the address
    WrongService,
    /// the answer is not the whole answer to this request; report it as a fault
    Mismatch,
}

/// Names a request across all flows.
#[must_use]
pub fn name(flow: FlowKey, request: RequestId) -> String {
    format!("{flow:016x}-{request:016x}")
}

/// Builds the payload of a request, of `size` bytes at least.
#[must_use]
pub fn build(name: &str, size: usize) -> Vec<u8> {
    let mut payload = format!("{name}\n").into_bytes();
    let filler = name.bytes().cycle();
    let missing = size.saturating_sub(payload.len());
    payload.extend(filler.take(missing));
    payload
}

/// Checks that an answer is the whole one to `payload`, from `service` (any
/// where empty).
///
/// # Errors
///
/// Any [`Error`].
pub fn check(answer: &[u8], service: &str, payload: &[u8]) -> Result<(), Error> {
    let end = answer.iter().position(|byte| *byte == b'\n');
    let (name, body) = answer.split_at(end.ok_or(Error::Mismatch)?);
    if !service.is_empty() && name != service.as_bytes() {
        return Err(Error::WrongService);
    }
    let body = &body[1..];
    let whole = body.len() >= payload.len();
    let same = body.iter().eq(payload.iter().cycle().take(body.len()));
    if whole && same {
        Ok(())
    } else {
        Err(Error::Mismatch)
    }
}
