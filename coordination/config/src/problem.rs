//! What can be wrong with a configuration.
use displaydoc::Display;
use thiserror::Error;

/// One fault of a configuration; the message names the remedy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Error)]
pub enum Problem {
    /// address is unspecified; give the IP address that callers send to
    AddressUnspecified,
    /// the port of address is 0; give the UDP port that callers send to
    PortZero,
    /// name is not 1 to 64 printable ASCII characters without spaces; shorten or change it
    Name,
    /// hunt is outside 1 to 3; choose the number of agents that an open visits
    Hunt,
    /// `queue_limit_ms` is over 60000; lower it, since callers should rather be refused at once
    QueueLimit,
    /// `idle_timeout_ms` is outside 1000 to 86400000; choose a time within
    IdleTimeout,
    /// `default_deadline_ms` is 0; give requests that state no deadline a positive one
    DefaultDeadlineZero,
    /// `default_deadline_ms` is over `largest_deadline_ms`; lower it or raise the largest
    DefaultDeadlineOverLargest,
    /// `largest_deadline_ms` is over 3600000; lower it
    LargestDeadline,
    /// `largest_answer_bytes` is outside 1 to 16777216; choose a size within
    LargestAnswer,
    /// more than 1024 targets and zones are drained; drain whole zones or delete the service
    Drained,
    /// operation is not 1 to 64 printable ASCII characters without spaces; choose a new random id
    Operation,
    /// the service exists already; update it, or choose another address
    Exists,
    /// no such service exists; create it first
    Missing,
    /// operation was used for another change already; choose a new random id
    OperationReused,
    /// a retry must state the revision that the first attempt was based on; give it as expected
    RetryWithoutRevision,
    /// no change is named; give one of create, update and delete
    NoChange,
    /// the address cannot be read; write it as `192.0.2.1:5000` or `[2001:db8::1]:5000`
    Address,
    /// the subject of the drain is missing or its zone is over 65535; give a target id or a zone
    Subject,
    /// the record is stored under the key of another service; delete that key
    WrongKey,
    /// the configuration cannot be read; upgrade the older process or write the record anew
    Malformed,
}
