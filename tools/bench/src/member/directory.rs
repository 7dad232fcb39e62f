//! Measures one entry whose directory has full size: memory, and processor
//! time of merges and heartbeats.
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use member::Message;
use member::Record;
use member::Registry;
use member::Service;
use member::Settings;
use member::message::Heartbeat;
use member::message::Push;
use member::message::Subject;
use serde::Serialize;

use super::cpu::Stopwatch;
use super::fleet;
use super::row;

const ENTRIES: usize = 15_000;
const TARGETS: usize = 99_000;
const SERVICES: usize = 7_700;

/// Size of a service's configuration in bytes.
const CONFIG_BYTES: usize = 150;

/// Maximum number of records in one push message.
const PUSH_RECORDS: usize = 16;

/// Number of agents that the entry watches: each agent has three watchers,
/// spread evenly over all entries.
const WATCHED: usize = TARGETS * 3 / ENTRIES;

/// Duration of the measurement of heartbeats, in seconds of virtual time.
const HEARTBEAT_SECONDS: u64 = 20;

/// Size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Memory and processor time of the directory.
#[derive(Debug, Serialize)]
pub struct Figures {
    entries: usize,
    targets: usize,
    services: usize,
    memory_bytes: u64,
    bytes_per_record: u64,
    /// Processor time to merge one record, in nanoseconds.
    merge_nanos: u128,
    /// Processes that the entry watches.
    watched: usize,
    /// Processor time per second without changes, in microseconds.
    steady_micros_a_second: u128,
    /// Processor time to merge the restart of another entry and to handle the
    /// next heartbeat of each watched agent, in microseconds.
    fleet_change_micros: u128,
}

impl Figures {
    /// Returns a table row for each figure.
    pub fn rows(&self) -> Vec<Vec<String>> {
        vec![
            row("entries", &self.entries),
            row("targets", &self.targets),
            row("services", &self.services),
            row("bytes of memory", &self.memory_bytes),
            row("bytes a record", &self.bytes_per_record),
            row("ns to merge a record", &self.merge_nanos),
            row("watched processes", &self.watched),
            row("us/s in steady state", &self.steady_micros_a_second),
            row(
                "us after a change of the entries",
                &self.fleet_change_micros,
            ),
        ]
    }
}

/// Fills a directory and measures it.
pub fn measure() -> Figures {
    let now = Duration::ZERO;
    let memory_before = resident_bytes();
    let identity = fleet::identity(0);
    let own = identity.address;
    let mut registry = Registry::new(Settings::default(), identity, 1, now);
    let entries = (1..ENTRIES).map(|number| fleet::record(&fleet::identity(number)));
    let services = (0..SERVICES).map(|number| {
        Record::Service(Service {
            address: fleet::service(number),
            revision: 7,
            body: Bytes::from(vec![7; CONFIG_BYTES]),
        })
    });
    let targets = (0..TARGETS).map(|number| Record::Target(fleet::target(number)));
    let stopwatch = Stopwatch::start();
    let mut records = entries.chain(services).chain(targets).peekable();
    let mut count = 0;
    while records.peek().is_some() {
        let records: Vec<Record> = records.by_ref().take(PUSH_RECORDS).collect();
        count += records.len();
        deliver_push(&mut registry, now, own, records);
    }
    let elapsed = stopwatch.elapsed().as_nanos();
    registry.tick(now, &mut Vec::new());
    registry.take_changes();
    let memory_bytes = resident_bytes().saturating_sub(memory_before);
    let steady_micros_a_second = steady_micros_a_second(&mut registry, own);
    let mut changed = fleet::identity(5);
    changed.incarnation += 1;
    let stopwatch = Stopwatch::start();
    deliver_push(&mut registry, now, own, vec![fleet::record(&changed)]);
    deliver_heartbeats(&mut registry, now, own, HEARTBEAT_SECONDS + 1);
    Figures {
        entries: ENTRIES,
        targets: TARGETS,
        services: SERVICES,
        memory_bytes,
        bytes_per_record: memory_bytes / count as u64,
        merge_nanos: elapsed / count as u128,
        watched: registry.status().watched,
        steady_micros_a_second,
        fleet_change_micros: stopwatch.elapsed().as_micros(),
    }
}

/// Returns the processor time of one second with the heartbeats of all watched
/// agents and the periodic work of the entry, which includes four rounds, in
/// microseconds.
fn steady_micros_a_second(registry: &mut Registry, own: SocketAddr) -> u128 {
    let stopwatch = Stopwatch::start();
    for second in 1..=HEARTBEAT_SECONDS {
        let now = Duration::from_secs(second);
        deliver_heartbeats(registry, now, own, second);
        while registry.next_deadline() <= now {
            let next = registry.next_deadline();
            registry.tick(next, &mut Vec::new());
        }
    }
    stopwatch.elapsed().as_micros() / u128::from(HEARTBEAT_SECONDS)
}

fn deliver_heartbeats(registry: &mut Registry, now: Duration, own: SocketAddr, sequence: u64) {
    for number in 0..WATCHED {
        let target = fleet::target(number);
        let from = target.address;
        let heartbeat = Heartbeat {
            subject: Subject::Target(target),
            sequence,
            watchers: vec![own],
            to_observer: false,
            digest: 0,
            parts: Vec::new(),
        };
        registry.handle(now, from, Message::Heartbeat(heartbeat), &mut Vec::new());
    }
}

fn deliver_push(registry: &mut Registry, now: Duration, from: SocketAddr, records: Vec<Record>) {
    let push = Push {
        is_rumor: false,
        records,
    };
    registry.handle(now, from, Message::Push(push), &mut Vec::new());
}

/// Returns the resident memory of this process, from the second field of
/// `statm`.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
