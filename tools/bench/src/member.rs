//! Simulates the membership protocol in virtual time: gossip of a change,
//! heartbeats, loss and return of a zone. Also measures the directory of one
//! entry at full size.
mod cpu;
mod directory;
mod fleet;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use member::Health;
use member::Service;
use serde::Serialize;
use wire::ServiceAddress;

use self::cpu::Stopwatch;
use self::fleet::Fleet;
use self::fleet::Volume;
use crate::report;
use crate::table;

/// Numbers of entries in the fleets that gossip a change.
const ENTRY_COUNTS: [usize; 5] = [10, 30, 100, 300, 1_000];

/// Numbers of agents per entry. Three entries of its region watch each agent,
/// so that an entry watches on average three times the agents of its region
/// divided by the entries of that region, besides other entries.
const AGENTS_PER_ENTRY: [usize; 3] = [0, 2, 7];

/// Number of entries in the fleets with agents.
const AGENT_ENTRIES: usize = 45;

/// Number of changes that are gossiped, one after another.
const CHANGES: u8 = 5;

/// Time that a fleet gets to converge, and over which bytes are counted.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Simulated time after which waiting for all entries to agree ends.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Simulated time between checks whether all entries agree; the resolution of
/// the measured times.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size of a service's configuration in bytes.
const CONFIG_BYTES: usize = 150;

#[derive(Debug, Serialize)]
struct Figures {
    spread: Vec<Spread>,
    detection: Vec<Detection>,
    zone: Outage,
    directory: directory::Figures,
}

/// Gossip of a change to all entries. Rates are per entry.
#[derive(Debug, Serialize)]
struct Spread {
    entries: usize,
    /// Median time until all entries have a change.
    median_ms: u128,
    /// Maximum time until all entries have a change.
    largest_ms: u128,
    /// Bytes sent and received per entry and change, beyond the idle traffic.
    bytes_per_entry: u64,
    /// Bytes per second without changes.
    idle_bytes_a_second: u64,
    /// Processor time per second without changes, in microseconds.
    idle_micros_a_second: u128,
    /// Share of all bytes that went to another zone.
    beyond_zone_percent: u64,
    /// Share of all bytes that went to another region.
    beyond_region_percent: u64,
}

/// Cost of the heartbeats of agents. Rates are per entry.
#[derive(Debug, Serialize)]
struct Detection {
    entries: usize,
    agents: usize,
    /// Processes that an entry watches, on average.
    watched: usize,
    entry_bytes_a_second: u64,
    entry_micros_a_second: u128,
}

/// Loss and return of one of nine zones. Rates are per entry.
#[derive(Debug, Serialize)]
struct Outage {
    entries: usize,
    agents: usize,
    /// Time until all other entries count the zone's targets as lost.
    lost_ms: u128,
    /// Time until all entries count the zone's targets as running again.
    back_ms: u128,
    loss_bytes_a_second: u64,
    return_bytes_a_second: u64,
    /// Suspicions of single processes in all entries.
    suspicions: u64,
}

const SPREAD_HEADER: [&str; 8] = [
    "entries",
    "median ms",
    "largest ms",
    "bytes an entry",
    "idle bytes/s",
    "idle us/s",
    "% beyond zone",
    "% beyond region",
];

const DETECTION_HEADER: [&str; 4] = [
    "agents",
    "watched by an entry",
    "bytes/s of an entry",
    "us/s of an entry",
];

impl Spread {
    fn row(&self) -> Vec<String> {
        vec![
            self.entries.to_string(),
            self.median_ms.to_string(),
            self.largest_ms.to_string(),
            self.bytes_per_entry.to_string(),
            self.idle_bytes_a_second.to_string(),
            self.idle_micros_a_second.to_string(),
            self.beyond_zone_percent.to_string(),
            self.beyond_region_percent.to_string(),
        ]
    }
}

impl Detection {
    fn row(&self) -> Vec<String> {
        vec![
            self.agents.to_string(),
            self.watched.to_string(),
            self.entry_bytes_a_second.to_string(),
            self.entry_micros_a_second.to_string(),
        ]
    }
}

impl Outage {
    fn rows(&self) -> Vec<Vec<String>> {
        vec![
            row("entries", &self.entries),
            row("agents", &self.agents),
            row("ms until all hold it to be lost", &self.lost_ms),
            row("ms until all hold it to be back", &self.back_ms),
            row("bytes/s of an entry at the loss", &self.loss_bytes_a_second),
            row(
                "bytes/s of an entry at the return",
                &self.return_bytes_a_second,
            ),
            row("suspicions of single processes", &self.suspicions),
        ]
    }
}

/// Returns a table row with the name and the value of one figure.
fn row(name: &str, value: &impl ToString) -> Vec<String> {
    vec![name.to_string(), value.to_string()]
}

/// Runs all simulations, prints their tables and writes `out/member.json`.
///
/// # Errors
///
/// The error of the operating system if the file cannot be written.
pub fn run() -> io::Result<()> {
    // Measured first: memory that other measurements have freed would be used
    // again, which hides growth of the resident memory.
    let directory = directory::measure();
    println!("The directory at full size");
    table::print(&["figure", "value"], &directory.rows());
    println!("A change on its way to every entry ({CHANGES} changes, 9 zones, 3 regions)");
    let spread: Vec<Spread> = ENTRY_COUNTS.map(spread).into_iter().collect();
    let rows: Vec<Vec<String>> = spread.iter().map(Spread::row).collect();
    table::print(&SPREAD_HEADER, &rows);
    println!("Heartbeats of agents ({AGENT_ENTRIES} entries)");
    let detection: Vec<Detection> = AGENTS_PER_ENTRY.map(detection).into_iter().collect();
    let rows: Vec<Vec<String>> = detection.iter().map(Detection::row).collect();
    table::print(&DETECTION_HEADER, &rows);
    println!("Loss and return of one of 9 zones");
    let zone = zone_outage();
    table::print(&["figure", "value"], &zone.rows());
    report::write(
        "member",
        &Figures {
            spread,
            detection,
            zone,
            directory,
        },
    )
}

fn service(number: u8) -> ServiceAddress {
    SocketAddr::from(([10, 200, 0, number], 80))
}

/// Measures the gossip of changes in a fleet without agents.
fn spread(entries: usize) -> Spread {
    let mut fleet = Fleet::new(entries, 0);
    fleet.run(SETTLE_TIME);
    let before = fleet.bytes();
    let stopwatch = Stopwatch::start();
    fleet.run(SETTLE_TIME);
    let elapsed = stopwatch.elapsed().as_micros();
    let idle = (fleet.bytes() - before) / SETTLE_TIME.as_secs() / entries as u64;
    let mut times = Vec::new();
    let mut bytes = 0;
    fleet.volume = Some(Volume::default());
    for number in 0..CHANGES {
        let before = fleet.bytes();
        let start = fleet.now;
        let now = fleet.now;
        let source = usize::from(number) * entries / usize::from(CHANGES);
        fleet.entries[source].put_service(
            now,
            Service {
                address: service(number),
                revision: 1,
                body: Bytes::from(vec![number; CONFIG_BYTES]),
            },
        );
        let is_everywhere = |fleet: &Fleet| {
            let mut entries = fleet.entries.iter();
            entries.all(|entry| entry.view(&service(number)).is_some())
        };
        fleet.run_until(TIMEOUT, POLL_INTERVAL, is_everywhere);
        times.push(fleet.now.saturating_sub(start).as_millis());
        fleet.run(SETTLE_TIME);
        let millis = fleet.now.saturating_sub(start).as_millis();
        let total = (fleet.bytes() - before) / entries as u64;
        bytes += total.saturating_sub(idle * u64::try_from(millis).unwrap_or(0) / 1_000);
    }
    times.sort_unstable();
    let volume = fleet.volume.unwrap_or_default();
    Spread {
        entries,
        median_ms: times[times.len() / 2],
        largest_ms: times[times.len() - 1],
        bytes_per_entry: bytes / u64::from(CHANGES),
        idle_bytes_a_second: idle,
        idle_micros_a_second: elapsed / u128::from(SETTLE_TIME.as_secs()) / entries as u128,
        beyond_zone_percent: volume.cross_zone * 100 / volume.total.max(1),
        beyond_region_percent: volume.cross_region * 100 / volume.total.max(1),
    }
}

/// Measures the heartbeats in a fleet with agents.
fn detection(agents_per_entry: usize) -> Detection {
    let agents = AGENT_ENTRIES * agents_per_entry;
    let mut fleet = Fleet::new(AGENT_ENTRIES, agents);
    fleet.run(SETTLE_TIME * 2);
    let before = fleet.bytes();
    let stopwatch = Stopwatch::start();
    fleet.run(SETTLE_TIME);
    let elapsed = stopwatch.elapsed().as_micros();
    let watched: usize = fleet
        .entries
        .iter()
        .map(|entry| entry.status().watched)
        .sum();
    Detection {
        entries: AGENT_ENTRIES,
        agents,
        watched: watched / AGENT_ENTRIES,
        entry_bytes_a_second: (fleet.bytes() - before)
            / SETTLE_TIME.as_secs()
            / AGENT_ENTRIES as u64,
        entry_micros_a_second: elapsed / u128::from(SETTLE_TIME.as_secs()) / AGENT_ENTRIES as u128,
    }
}

/// Measures how the entries learn of the loss and of the return of a zone.
fn zone_outage() -> Outage {
    let agents = AGENT_ENTRIES * AGENTS_PER_ENTRY[2];
    let mut fleet = Fleet::new(AGENT_ENTRIES, agents);
    fleet.run(SETTLE_TIME * 2);
    let lost_agents = agents / fleet::ZONES;
    let have_down = |fleet: &Fleet, wanted: usize| {
        let entries = (0..AGENT_ENTRIES).filter(|number| !fleet.is_frozen(*number));
        let mut counts = entries.map(|number| {
            let views = fleet.entries[number].views();
            let members = views.flat_map(|view| view.targets.values());
            members.filter(|member| member.health != Health::Up).count()
        });
        counts.all(|count| count == wanted)
    };
    let before = fleet.bytes();
    let start = fleet.now;
    fleet.frozen_zone = Some(0);
    fleet.run_until(TIMEOUT, POLL_INTERVAL, |fleet| {
        have_down(fleet, lost_agents)
    });
    let lost_ms = fleet.now.saturating_sub(start).as_millis();
    fleet.run(SETTLE_TIME);
    let loss_seconds = fleet.now.saturating_sub(start).as_secs();
    let loss_bytes = fleet.bytes() - before;
    let before = fleet.bytes();
    let start = fleet.now;
    fleet.frozen_zone = None;
    fleet.run_until(TIMEOUT, POLL_INTERVAL, |fleet| have_down(fleet, 0));
    let back_ms = fleet.now.saturating_sub(start).as_millis();
    fleet.run(SETTLE_TIME);
    let return_seconds = fleet.now.saturating_sub(start).as_secs();
    Outage {
        entries: AGENT_ENTRIES,
        agents,
        lost_ms,
        back_ms,
        loss_bytes_a_second: loss_bytes / loss_seconds / AGENT_ENTRIES as u64,
        return_bytes_a_second: (fleet.bytes() - before) / return_seconds / AGENT_ENTRIES as u64,
        suspicions: fleet
            .entries
            .iter()
            .map(|entry| entry.status().suspicions)
            .sum(),
    }
}
