//! Identifiers shared by all layers.
use std::net::SocketAddr;

/// Key of a flow; chosen by its caller, opaque to the system.
pub type FlowKey = u64;

/// Id of a request within its flow; chosen by its caller.
pub type RequestId = u64;

/// Id of one backend server of one service; see [`target_id`].
pub type TargetId = u64;

/// Start time of a process in microseconds since the Unix epoch. A larger
/// incarnation of the same process replaces a smaller one.
pub type Incarnation = u64;

/// Revision of a change of the platform's key-value service: its era, which rises when
/// the service is restored from an older copy, in the upper half, and its number within
/// the era in the lower; see [`crate::revision`].
pub type Revision = u128;

/// Version of the operators' configuration of routes.
pub type Version = u64;

/// Id of an availability zone. Zones of one region have the same upper byte.
pub type ZoneId = u16;

/// Load-shedding priority of a route, which makes its flows a class: under overload, a
/// higher number is shed first and 0 last.
pub type Priority = u64;

/// IP address and UDP port that callers of a service send to.
pub type ServiceAddress = SocketAddr;

/// Derives the stable id of the backend server at `backend` of `service`.
#[must_use]
pub fn target_id(service: ServiceAddress, backend: SocketAddr) -> TargetId {
    let name = format!("{service}|{backend}");
    let hash = blake3::hash(name.as_bytes());
    let mut bytes = [0; size_of::<TargetId>()];
    bytes.copy_from_slice(&hash.as_bytes()[..size_of::<TargetId>()]);
    TargetId::from_le_bytes(bytes)
}
