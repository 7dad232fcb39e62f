//! The packets that callers exchange with a service address.
//!
//! The types are generated from `proto/caller.proto`, which documents each
//! field.
use bytes::Bytes;
use displaydoc::Display;
use prost::Message;
use thiserror::Error;

use crate::FlowKey;
use crate::RequestId;
use crate::frame::MAX_PAYLOAD_BYTES;

mod schema {
    #![allow(missing_docs, clippy::pedantic)]
    include!("gen/greengagelug.caller.v1.rs");
}

pub use schema::*;

/// Version of the schema that this program speaks.
pub const VERSION: u32 = 1;

/// Why a caller's packet was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// the packet cannot be read; send one Packet of caller.proto in each datagram
    Malformed,
    /// the packet's version is not supported; use version 1
    Version,
    /// the payload is larger than 16 KiB; send less in one request
    TooLarge,
}

impl Packet {
    /// Wraps a body in a packet of the current version.
    #[must_use]
    pub fn new(flow: FlowKey, body: packet::Body) -> Self {
        Self {
            version: VERSION,
            flow,
            body: Some(body),
        }
    }

    /// Wraps a refusal in a packet.
    #[must_use]
    pub fn refuse(
        flow: FlowKey,
        request: RequestId,
        reason: Reason,
        outcome: Outcome,
        retry_after_ms: u32,
    ) -> Self {
        Self::new(
            flow,
            packet::Body::Refusal(Refusal {
                request,
                reason: reason.into(),
                outcome: outcome.into(),
                retry_after_ms,
            }),
        )
    }

    /// Wraps the refusal of a packet that was not accepted, naming the flow and
    /// the request as far as they can be read. Such a packet never runs, nor
    /// does a copy of it.
    #[must_use]
    pub fn reject(bytes: Bytes, error: Error) -> Self {
        let mut packet = Self::default();
        // What was read before the error stays.
        let _ = packet.merge(bytes);
        let request = match packet.body {
            Some(packet::Body::Request(request)) => request.request,
            _ => 0,
        };
        let reason = match error {
            Error::Malformed => Reason::Malformed,
            Error::Version => Reason::BadVersion,
            Error::TooLarge => Reason::TooLarge,
        };
        Self::refuse(packet.flow, request, reason, Outcome::NotRun, 0)
    }

    /// Encodes the packet.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Reads and checks a packet.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; the datagram is then to be counted and, where the sender
    /// can use it, answered.
    pub fn from_bytes(bytes: Bytes) -> Result<Self, Error> {
        let packet = Self::decode(bytes).map_err(|_| Error::Malformed)?;
        match &packet.body {
            _ if packet.version != VERSION => Err(Error::Version),
            None => Err(Error::Malformed),
            Some(packet::Body::Request(request)) if request.payload.len() > MAX_PAYLOAD_BYTES => {
                Err(Error::TooLarge)
            }
            Some(packet::Body::Request(request)) if request.request == 0 => Err(Error::Malformed),
            // The refusal of a packet whose flow could not be read names none.
            Some(packet::Body::Refusal(_)) => Ok(packet),
            Some(_) if packet.flow == 0 => Err(Error::Malformed),
            Some(_) => Ok(packet),
        }
    }
}

/// Reads the flow key of a packet that [`Packet::from_bytes`] refused, or
/// `None` where there is none.
#[must_use]
pub fn flow_key(bytes: Bytes) -> Option<FlowKey> {
    let packet = Packet::decode(bytes).ok()?;
    (packet.flow != 0).then_some(packet.flow)
}

/// Reads the request id of a packet that [`Packet::from_bytes`] refused, or 0
/// where there is none.
#[must_use]
pub fn request_id(bytes: Bytes) -> RequestId {
    match Packet::decode(bytes).ok().and_then(|packet| packet.body) {
        Some(packet::Body::Request(request)) => request.request,
        _ => 0,
    }
}
