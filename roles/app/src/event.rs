//! The numbered events of the log. docs/EVENTS.md is made from this table; a
//! test holds it against the code.
//!
//! Numbers are never used again: 1xxx the process, 2xxx configuration and the
//! platform, 3xxx membership, 4xxx traffic, 5xxx backend servers.
use std::fmt;
use std::fmt::Write;
use std::net::SocketAddr;

use log::Level;
use wire::Incarnation;
use wire::Revision;
use wire::ServiceAddress;
use wire::TargetId;

/// Target of the log records that carry an event.
pub const LOG_TARGET: &str = "greengagelug";

/// One line of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of the event.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Name of the event in the code.
    pub name: &'static str,
    /// Text, with the names of its fields in braces.
    pub text: &'static str,
    /// What an operator does about it.
    pub remedy: &'static str,
}

/// Defines the events and their catalogue from one table.
macro_rules! events {
    ($(
        $number:literal $level:ident $name:ident { $($field:ident: $type:ty),* $(,)? }
        $text:literal, $remedy:literal;
    )+) => {
        /// A numbered event.
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Event {
            $(
                #[doc = concat!("Event ", $number, ": ", $text, ".")]
                $name {
                    $(
                        #[doc = concat!("The ", stringify!($field), " in the text.")]
                        $field: $type,
                    )*
                },
            )+
        }

        /// All events, by number.
        pub const CATALOGUE: &[Entry] = &[
            $(Entry {
                number: $number,
                level: Level::$level,
                name: stringify!($name),
                text: $text,
                remedy: $remedy,
            },)+
        ];

        impl Event {
            /// Number of the event.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)+
                }
            }

            /// Severity of the event.
            #[must_use]
            pub const fn level(&self) -> Level {
                match self {
                    $(Self::$name { .. } => Level::$level,)+
                }
            }
        }

        impl fmt::Display for Event {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self {
                    $(Self::$name { $($field),* } => write!(formatter, $text),)+
                }
            }
        }
    };
}

events! {
    1001 Info Starting { role: String, listen: SocketAddr }
        "{role} starts on {listen}", "nothing";
    1002 Info Stopped { role: String }
        "{role} has stopped", "nothing";
    1003 Error Failed { role: String, error: String }
        "{role} failed: {error}", "check the addresses in the settings";
    1004 Info Metrics { samples: String }
        "metrics: {samples}", "nothing";
    1005 Info CarrierStarting { role: String, host: String, zone: String, frames: SocketAddr }
        "{role} starts on {host} in {zone}, frames on {frames}", "nothing";
    1006 Info Stopping { role: String }
        "{role} was told to stop and takes no new flows", "nothing";
    1007 Info Reloading { role: String }
        "{role} was told that its settings changed; they count from the next start", "nothing";
    1008 Info Unlogged { lines: u64 }
        "{lines} log lines were dropped since the last line like this", "nothing";
    2001 Info InForce { service: ServiceAddress, revision: Revision }
        "revision {revision} of service {service} is in force here", "nothing";
    2002 Error NotBound { service: ServiceAddress, error: String }
        "the address of service {service} cannot be bound: {error}",
        "give the host that address and restart the entry, or set --fabric";
    2003 Info ConfigInForce { version: Revision, routes: usize }
        "version {version} of the configuration with {routes} routes is in force here", "nothing";
    2004 Error ConfigUnreadable { error: String }
        "a configuration cannot be read: {error}", "look at what the operators wrote last";
    2005 Warn StoreLost { fault: String }
        "the store is lost: {fault}", "look at the platform's key-value service; flows go on";
    2006 Info StoreRegained { }
        "the store answers again", "nothing";
    2007 Info Listed { key: String }
        "the store lists this process under {key}", "nothing";
    3001 Info TargetUp { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} takes work", "nothing";
    3002 Warn TargetDown { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} is held down",
        "look at its host, its agent's log and the network to it";
    3003 Info TargetDraining { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} takes no new flows", "nothing";
    3004 Info TargetLeft { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} has left", "nothing";
    3005 Error Superseded { incarnation: Incarnation }
        "a newer process of incarnation {incarnation} has this one's place; this one ends",
        "run one process at an address, and look at why this one was frozen";
    3006 Warn NotAnAnnouncement { path: String }
        "a call to {path} tells of no backend server here", "look at what calls this address";
    3007 Info Announced { server: String, state: String, sequence: u64 }
        "backend server {server} is {state} by its announcement {sequence}", "nothing";
    3008 Info OldAnnouncement { server: String, sequence: u64 }
        "announcement {sequence} of {server} is older than the last and was dropped", "nothing";
    4001 Info FlowOpened { flow: String, first: TargetId, version: Revision, count: usize }
        "flow {flow} goes to {first} and {count} more by version {version}", "nothing";
    4002 Info FlowTaken { flow: String, wait_us: u128, held_us: u128, risk_us: u128, running: u16, held: usize, entry: SocketAddr }
        "flow {flow} is taken: expected wait {wait_us} us, later {held_us} us, through failures {risk_us} us, {running} requests, {held} flows, through {entry}",
        "nothing";
    4003 Info FlowPassed { flow: String, bid: String, to: TargetId, settled: bool }
        "flow {flow} is passed to {to}: bid here {bid}, settled {settled}", "nothing";
    4004 Warn FlowReset { flow: String, reason: String, detail: String }
        "flow {flow} is reset: {reason}, {detail}",
        "no route: look at the configuration; no slot or no server: look at the load";
    4005 Info FlowSought { flow: String, searcher: TargetId, known: usize, may_try: bool, max_age_ms: u32 }
        "the agent of {searcher} searches for the holder of flow {flow} among {known} agents, tries allowed {may_try}, denials of backend servers up to {max_age_ms} ms old", "nothing";
    4006 Info FlowFound { flow: String, holder: TargetId, took_us: u128 }
        "flow {flow} is held by {holder}, found after {took_us} us", "nothing";
    4007 Warn FlowLost { flow: String, rounds: u8 }
        "nobody says to hold flow {flow} after {rounds} searches; its packets are dropped for a while",
        "look for an agent that stopped beside a running backend server";
    4008 Info FlowTried { flow: String }
        "a packet of flow {flow} is tried at the backend server", "nothing";
    4009 Info FlowReturned { flow: String, was_held: bool }
        "the backend server handed back a packet of flow {flow}, believed held {was_held}", "nothing";
    4010 Info PacketDropped { reason: String }
        "a packet was dropped: {reason}", "nothing";
    4011 Info FlowUnheld { flow: String, agents: usize, took_us: u128 }
        "none of {agents} agents holds flow {flow}, known after {took_us} us", "nothing";
    4012 Info FlowUndecided { flow: String, denied: usize, agents: usize, is_complete: bool }
        "{denied} of {agents} agents deny flow {flow}, all known {is_complete}; none is known to hold it", "nothing";
    4013 Warn RequestFailed { flow: String }
        "the backend server reset a request of flow {flow}, or did not answer it in its time", "look at the backend server's own log";
    5001 Warn ServerEnded { flows: usize }
        "the backend server has ended with {flows} flows", "nothing where that was planned";
}

impl Event {
    /// Writes the event to the log.
    pub fn log(&self) {
        let number = self.number();
        log::log!(target: LOG_TARGET, self.level(), event = number; "{self}");
    }
}

/// The page docs/EVENTS.md.
#[must_use]
pub fn page() -> String {
    let mut page = String::from(include_str!("event/page.md"));
    for entry in CATALOGUE {
        // Writing to a String cannot fail.
        let _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} |",
            entry.number,
            entry.level.as_str().to_lowercase(),
            entry.name,
            entry.text,
            entry.remedy,
        );
    }
    page
}
