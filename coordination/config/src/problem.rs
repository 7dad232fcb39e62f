//! Problems of a configuration or of a request to change it.
use displaydoc::Display;
use thiserror::Error;

/// A problem of a configuration or request; its message names the remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Error)]
pub enum Problem {
    /// address is unspecified; give the IP address that callers send to
    AddressUnspecified,
    /// the port of address is 0; give the UDP port that callers send to
    PortZero,
    /// name is not 1 to 64 printable ASCII characters without spaces; shorten or change it
    Name,
    /// hunt is outside 1 to 3; set the number of agents that an open may visit
    Hunt,
    /// `queue_limit_ms` is over 60000; lower it, as refusing at once is better than a longer wait
    QueueLimit,
    /// `idle_timeout_ms` is outside 1000 to 86400000; choose a time in this range
    IdleTimeout,
    /// `default_deadline_ms` is 0; set a positive default for requests that state no deadline
    DefaultDeadlineZero,
    /// `default_deadline_ms` is over `largest_deadline_ms`; lower the former or raise the latter
    DefaultDeadlineOverLargest,
    /// `largest_deadline_ms` is over 3600000; lower it
    LargestDeadline,
    /// `largest_answer_bytes` is outside 1 to 16777216; choose a size in this range
    LargestAnswer,
    /// more than 1024 targets and zones are drained; drain whole zones or delete the service
    Drained,
    /// operation id is not 1 to 64 printable ASCII characters without spaces; use a new random id
    Operation,
    /// the service already exists; update it, or choose another address
    Exists,
    /// the service does not exist; create it first
    Missing,
    /// operation id was already used for another change; use a new random id
    OperationReused,
    /// a retry has no expected revision; state the one that the first attempt was based on
    RetryWithoutRevision,
    /// the request contains no change; state one of create, update and delete
    NoChange,
    /// the address cannot be read; write it as `192.0.2.1:5000` or `[2001:db8::1]:5000`
    Address,
    /// the drain names no subject or a zone over 65535; state a target id or a zone
    Subject,
    /// the record is stored under another service's key; delete that key
    WrongKey,
    /// the configuration cannot be decoded; upgrade the older process or rewrite the record
    Malformed,
}
