//! The numbered events of the log. docs/EVENTS.md is generated from this table; a
//! test compares the two.
//!
//! The number of a removed event is never reused. 1xxx is the process, 2xxx
//! configuration and the platform, 3xxx membership, 4xxx traffic, 5xxx backend
//! servers.
use std::fmt;
use std::fmt::Write;
use std::net::SocketAddr;

use config::era;
use config::era::Era;
use log::Level;
use wire::Incarnation;
use wire::Priority;
use wire::Revision;
use wire::ServiceAddress;
use wire::TargetId;
use wire::Version;

/// Target of the log records that carry an event.
pub const LOG_TARGET: &str = "greengagelug";

/// Definition of an event in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Definition {
    /// Number of the event.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Name of the event in the code.
    pub name: &'static str,
    /// Text of the log line, with the names of the fields in braces.
    pub text: &'static str,
    /// Action for an operator, or `nothing`.
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

        /// All events, in order of their numbers.
        pub const CATALOGUE: &[Definition] = &[
            $(Definition {
                number: $number,
                level: Level::$level,
                name: stringify!($name),
                text: $text,
                remedy: $remedy,
            },)+
        ];

        impl Event {
            /// Returns the number of the event.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)+
                }
            }

            /// Returns the severity of the event.
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
        "{role} starts on host {host} in availability zone {zone} and receives frames on {frames}", "nothing";
    1006 Info Stopping { role: String }
        "{role} received a stop signal and accepts no new flows", "nothing";
    1007 Info Reloading { role: String }
        "{role} received SIGHUP; a changed rate of the network link takes effect now, other settings at the next start", "nothing";
    1008 Info Unlogged { lines: u64 }
        "{lines} log lines were suppressed by the rate limit since the last summary", "nothing";
    1009 Warn StopNotAnnounced { role: String }
        "{role} stops without telling its peers, because the queue of its control thread is full", "check the processor time of the host";
    1010 Info LinkPaced { bytes_per_second: u64 }
        "packets are sent over the network link at {bytes_per_second} bytes per second at most", "nothing";
    2001 Info InForce { service: ServiceAddress, revision: Revision }
        "revision {revision} of service {service} is in force here", "nothing";
    2002 Error NotBound { service: ServiceAddress, error: String }
        "cannot bind the address of service {service}: {error}",
        "give the host that address and restart the entry, or set --fabric";
    2003 Info ConfigInForce { version: Version, routes: usize }
        "configuration version {version} with {routes} routes is in force here", "nothing";
    2004 Error ConfigUnreadable { error: String }
        "cannot decode a configuration: {error}", "check the configuration that was last written to the store";
    2005 Warn StoreLost { fault: String }
        "the store is unavailable: {fault}", "check the platform's key-value service; existing flows continue";
    2006 Info StoreRegained { }
        "the store is available again", "nothing";
    2007 Info Listed { key: String }
        "this process is registered in the store under {key}", "nothing";
    2008 Warn StoreRestored { era: Era }
        "the store was restored from an older copy and is now in era {era}; changes made since the copy are lost",
        "check that the newest configuration is stored again; processes register again by themselves";
    2009 Warn ConfigBehind { stored: Version, version: Version }
        "the store holds configuration version {stored}, which is older than version {version} in force here; the newer one stays in force",
        "write the newest configuration to the store again";
    2010 Info ZoneEvacuated { zone: String, revision: era::Number }
        "availability zone {zone} is evacuated since revision {revision}: its backend servers get no new flows", "nothing";
    2011 Info ZoneRestored { zone: String }
        "availability zone {zone} is restored: its backend servers get new flows again", "nothing";
    2012 Warn ZoneUnknown { zone: String }
        "the store lists {zone} as evacuated, which is no availability zone of the settings; it is ignored",
        "delete the key and write the one of the zone that was meant";
    2013 Warn ServiceUncovered { service: ServiceAddress }
        "all availability zones in which service {service} has backend servers are evacuated: its new flows are refused",
        "restore one of the zones, or start backend servers in another one";
    2014 Info ServiceCovered { service: ServiceAddress }
        "service {service} has backend servers in a zone that is not evacuated again", "nothing";
    2015 Info RoutesMoved { version: Version, routes: usize }
        "configuration version {version} names other services than before for {routes} routes; their open flows stay at the former ones", "nothing";
    3001 Info TargetUp { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} is ready for new flows", "nothing";
    3002 Warn TargetDown { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} is marked down",
        "check its host, its agent's log and the network to it";
    3003 Info TargetDraining { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} is draining and accepts no new flows", "nothing";
    3004 Info TargetLeft { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} has left", "nothing";
    3005 Error Superseded { incarnation: Incarnation }
        "a newer process with incarnation {incarnation} has superseded this one, which ends",
        "run one process per address, and find out why this one was frozen";
    3006 Warn NotAnAnnouncement { path: String }
        "a call to {path} is no announcement of a backend server on this host",
        "check which process calls this address";
    3007 Info Announced { server: String, state: String, sequence: u64 }
        "backend server {server} announced the state {state} in announcement {sequence}", "nothing";
    3008 Info OldAnnouncement { server: String, sequence: u64 }
        "announcement {sequence} of backend server {server} is older than the last one and was ignored", "nothing";
    3009 Info OwnZone { state: String }
        "the availability zone of this host is {state}; while it is evacuated, new flows are passed on to other zones", "nothing";
    4001 Info FlowOpened { flow: String, first: TargetId, version: Version, count: usize }
        "flow {flow} was sent to the agent of {first}, with {count} more agents on its path, by configuration version {version}", "nothing";
    4002 Info FlowTaken { flow: String, wait_us: u128, held_us: u128, risk_us: u128, running: u16, held: usize, entry: SocketAddr }
        "flow {flow} was accepted: expected wait {wait_us} us, later wait through other flows {held_us} us, loss through failures {risk_us} us; {running} requests and {held} flows before it; from entry {entry}",
        "nothing";
    4003 Info FlowPassed { flow: String, bid: String, to: TargetId, settled: bool }
        "the opening packet of flow {flow} was forwarded to the agent of {to}: bid here {bid}, final decision left to that agent: {settled}", "nothing";
    4004 Warn FlowReset { flow: String, reason: String, detail: String }
        "flow {flow} was reset: {reason}, {detail}",
        "no_route: check the configuration; no_slot, no_server, no_capacity or sooner_elsewhere: check the load";
    4005 Info FlowSought { flow: String, searcher: TargetId, known: usize, may_try: bool, max_age_ms: u32 }
        "the agent of {searcher} searches for the holder of flow {flow} among {known} agents; probes allowed: {may_try}, denials count from backend servers up to {max_age_ms} ms old", "nothing";
    4006 Info FlowFound { flow: String, holder: TargetId, took_us: u128 }
        "the agent of {holder} holds flow {flow}; last search took {took_us} us", "nothing";
    4007 Warn FlowLost { flow: String, rounds: u8 }
        "no holder of flow {flow} was found in {rounds} searches; its packets are dropped for a short time",
        "look for an agent that stopped while its backend server still runs";
    4008 Info FlowTried { flow: String }
        "a packet of flow {flow} was delivered to the backend server as a probe", "nothing";
    4009 Info FlowReturned { flow: String, was_held: bool }
        "the backend server returned a packet of flow {flow}; believed to be held here: {was_held}", "nothing";
    4010 Info PacketDropped { reason: String }
        "a packet was dropped: {reason}", "nothing";
    4011 Info FlowUnheld { flow: String, agents: usize, took_us: u128 }
        "none of {agents} agents holds flow {flow}; the search took {took_us} us", "nothing";
    4012 Info FlowUndecided { flow: String, denied: usize, agents: usize, is_complete: bool }
        "the search for the holder of flow {flow} ended without a result: {denied} of {agents} agents deny holding it; all agents known: {is_complete}", "nothing";
    4013 Warn RequestFailed { flow: String }
        "the backend server reset a request of flow {flow}, closed the flow in place of an answer, or did not answer in time", "check the backend server's log";
    4014 Info FlowWaits { flow: String, wait_us: u128, waiting: usize }
        "flow {flow} waits for a slot: expected wait {wait_us} us; {waiting} flows waited before it", "nothing";
    4015 Warn AnswerImplausible { flow: String }
        "the answer to a request of flow {flow} came far sooner and is far shorter than usual; it counts as a failure", "check the backend server's log for errors";
    4016 Warn OverloadBegan { priority: Priority, running: u16, waiting: usize, held: usize }
        "overload began: a new flow of priority {priority} had to wait; {running} requests run or wait at the backend server, {waiting} flows wait here, {held} are held", "check the load; less urgent flows wait or are refused until it ends";
    4017 Info OverloadEnded { lasted_ms: u128 }
        "overload ended after {lasted_ms} ms", "nothing";
    4018 Warn ClassRefused { service: String, priority: Priority }
        "no backend server has capacity for new flows of priority {priority} to service {service}; they are refused here, except for one in 16", "check the load and the number of backend servers";
    4019 Info ClassAdmitted { service: String, priority: Priority, refused: u64 }
        "new flows of priority {priority} to service {service} are sent to backend servers again; {refused} were refused", "nothing";
    4020 Info FlowsSought { flows: usize, searcher: TargetId, known: usize }
        "the agent of {searcher} searches for the holders of {flows} flows among {known} agents", "nothing";
    4021 Info FlowEnded { flow: String, proof: String, took_us: u128 }
        "flow {flow} has ended: every possible holder denies it, by {proof}; {took_us} us after its first packet arrived here", "nothing";
    4022 Warn SearchUnanswered { searcher: TargetId, flows: usize }
        "the agent of {searcher} did not answer in time which agents hold {flows} flows; another one is asked",
        "during an update from a version without batches: nothing; else check that agent and its host";
    4023 Warn FlowsUndecided { flows: usize }
        "{flows} flows were dropped whose holder was not found and whose end was not proved before their callers gave up",
        "look for agents that are marked down (3002), or that stopped while their backend servers still run";
    4024 Warn LinkFull { bytes: usize }
        "the network link of this host is full: packets have waited for half a second without interruption; {bytes} bytes wait",
        "nothing if it ends soon; otherwise give the host a faster link, or run more hosts";
    4025 Info LinkFree { }
        "the network link of this host is free again", "nothing";
    4026 Warn RotationLeft { }
        "this gateway answers the readiness check as not ready, since its network link stays full and others of its zone have room; it still serves what reaches it",
        "give the host a faster link if this lasts";
    4027 Info RotationRejoined { }
        "this gateway takes part in the rotation again", "nothing";
    4028 Warn OverflowBegan { overflowed: u32, opened: u32 }
        "the own availability zone has too little room: {overflowed} of {opened} new flows of the last second were sent to other zones",
        "add capacity in the zone if this is frequent";
    4029 Info OverflowEnded { flows: u64, lasted_ms: u128 }
        "new flows stay in the own availability zone again; {flows} were sent to other zones within {lasted_ms} ms", "nothing";
    4030 Info SearchWidened { flow: String }
        "no backend server holds flow {flow} of the services that its route names; all services are searched, as the route may have named another one before this process started", "nothing";
    4031 Info HolderReplaced { flow: String, former: TargetId, holder: TargetId }
        "flow {flow} is taken to be held by backend server {holder} in place of {former}: its sidecar has reported so, or that of {former} has denied it",
        "nothing";
    4032 Info ProbesRequested { target: TargetId, flows: usize }
        "asked the agent of backend server {target} to look up {flows} flows by sending their packets to the server", "nothing";
    5001 Warn ServerEnded { flows: usize }
        "the backend server has ended with {flows} flows", "nothing if this was planned";
    5002 Info ServerMissing { }
        "no backend server runs here: it returned all packets since the start of this process and has not announced itself; it is announced as gone until it does",
        "nothing";
    5003 Info ServerCold { left: String, limit: usize }
        "the backend server is cold for {left} and gets {limit} new flows at most in any one second", "nothing";
    5004 Info ServerFound { age_ms: u128, own_age_ms: u128, knows_all: bool }
        "the backend server has been running for {age_ms} ms at most, this process for {own_age_ms} ms; all flows of the server were seen here: {knows_all}. If not, unknown flows are looked up by sending it a packet", "nothing";
}

impl Event {
    /// Writes the event to the log.
    pub fn log(&self) {
        let number = self.number();
        log::log!(target: LOG_TARGET, self.level(), event = number; "{self}");
    }
}

/// Returns the content of docs/EVENTS.md.
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
