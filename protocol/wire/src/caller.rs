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

/// Version of the schema that is sent and accepted.
pub const VERSION: u32 = 1;

/// Reason for rejecting a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Error {
    /// the packet cannot be decoded, or its flow key, request id or body is missing; send one Packet of caller.proto in each datagram
    Malformed,
    /// the packet's version is not supported; use version 1
    Version,
    /// the payload is larger than 16 KiB; split it over several requests
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

    /// Builds a packet that refuses a request, or an open where `request` is 0.
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

    /// Builds the refusal of a packet that was rejected, with its flow key and
    /// request id as far as they can be decoded. The outcome is
    /// [`Outcome::NotRun`]: a retransmission is rejected for the same reason.
    #[must_use]
    pub fn reject(bytes: Bytes, error: Error) -> Self {
        let mut packet = Self::default();
        // The fields decoded before an error are kept.
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

    /// Decodes and validates a packet.
    ///
    /// # Errors
    ///
    /// Any [`enum@Error`]; the caller of this function counts the datagram and may
    /// answer it with [`Packet::reject`].
    pub fn from_bytes(bytes: Bytes) -> Result<Self, Error> {
        let packet = Self::decode(bytes).map_err(|_| Error::Malformed)?;
        match &packet.body {
            _ if packet.version != VERSION => Err(Error::Version),
            None => Err(Error::Malformed),
            Some(packet::Body::Request(request)) if request.payload.len() > MAX_PAYLOAD_BYTES => {
                Err(Error::TooLarge)
            }
            Some(packet::Body::Request(request)) if request.request == 0 => Err(Error::Malformed),
            // The refusal of a packet whose flow key could not be decoded has
            // flow key 0.
            Some(packet::Body::Refusal(_)) => Ok(packet),
            Some(_) if packet.flow == 0 => Err(Error::Malformed),
            Some(_) => Ok(packet),
        }
    }
}

/// Returns the flow key of a packet that [`Packet::from_bytes`] rejected, or
/// `None` where it has none or cannot be decoded.
#[must_use]
pub fn flow_key(bytes: Bytes) -> Option<FlowKey> {
    let packet = Packet::decode(bytes).ok()?;
    (packet.flow != 0).then_some(packet.flow)
}

/// Returns the request id of a packet that [`Packet::from_bytes`] rejected, or
/// 0 where it has none or cannot be decoded.
#[must_use]
pub fn request_id(bytes: Bytes) -> RequestId {
    match Packet::decode(bytes).ok().and_then(|packet| packet.body) {
        Some(packet::Body::Request(request)) => request.request,
        _ => 0,
    }
}
