//! Membership: time and bytes to spread a change, what detection costs, how a
//! zone is lost and returns, and what the directory takes at full size.
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

use self::cpu::Timer;
use self::fleet::Fleet;
use self::fleet::Volume;
use crate::report;
use crate::table;

/// Fleets over which a change is spread.
const ENTRY_COUNTS: [usize; 5] = [10, 30, 100, 300, 1_000];

/// Agents before each entry, of which an entry watches three times as many
/// divided by the entries of a region.
const AGENTS_PER_ENTRY: [usize; 3] = [0, 2, 7];

/// Entries of the fleets with agents.
const AGENT_ENTRIES: usize = 45;

/// Changes that are spread, one after another.
const CHANGES: u8 = 5;

/// Time in which a fleet settles, and over which bytes are counted.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Longest time that a change or verdict may take.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Steps in which the spreading of a change is observed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of a configuration.
const CONFIG_BYTES: usize = 150;

#[derive(Debug, Serialize)]
struct Figures {
    spread: Vec<Spread>,
    detection: Vec<Detection>,
    zone: Outage,
    directory: directory::Figures,
}

/// One change on its way to everyone.
#[derive(Debug, Serialize)]
struct Spread {
    entries: usize,
    median_ms: u128,
    largest_ms: u128,
    bytes_per_entry: u64,
    idle_bytes_a_second: u64,
    idle_micros_a_second: u128,
    beyond_zone_percent: u64,
    beyond_region_percent: u64,
}

/// Cost of heartbeats.
#[derive(Debug, Serialize)]
struct Detection {
    entries: usize,
    agents: usize,
    watched: usize,
    entry_bytes_a_second: u64,
    entry_micros_a_second: u128,
}

/// Loss and return of one of nine zones.
#[derive(Debug, Serialize)]
struct Outage {
    entries: usize,
    agents: usize,
    lost_ms: u128,
    back_ms: u128,
    loss_bytes_a_second: u64,
    return_bytes_a_second: u64,
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

/// A row that names one figure.
fn row(name: &str, value: &impl ToString) -> Vec<String> {
    vec![name.to_string(), value.to_string()]
}

/// Measures, prints and writes the figures.
///
/// # Errors
///
/// The operating system's error where the figures cannot be written.
pub fn run() -> io::Result<()> {
    // First, while no other memory has been taken.
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

fn spread(entries: usize) -> Spread {
    let mut fleet = Fleet::new(entries, 0);
    fleet.run(SETTLE_TIME);
    let before = fleet.bytes();
    let clock = Timer::start();
    fleet.run(SETTLE_TIME);
    let elapsed = clock.elapsed().as_micros();
    let idle = (fleet.bytes() - before) / SETTLE_TIME.as_secs() / entries as u64;
    let mut times = Vec::new();
    let mut bytes = 0;
    fleet.volume = Some(Volume::default());
    for number in 0..CHANGES {
        let before = fleet.bytes();
        let start = fleet.now;
        let now = fleet.now;
        let author = usize::from(number) * entries / usize::from(CHANGES);
        fleet.entries[author].put(
            now,
            Service {
                address: service(number),
                revision: 1,
                body: Bytes::from(vec![number; CONFIG_BYTES]),
            },
        );
        let is_everywhere = |fleet: &Fleet| {
            let mut entries = fleet.entries.iter();
            entries.all(|entry| entry.service(&service(number)).is_some())
        };
        fleet.run_until(TIMEOUT, POLL_INTERVAL, is_everywhere);
        times.push(fleet.now.saturating_sub(start).as_millis());
        fleet.run(SETTLE_TIME);
        let millis = fleet.now.saturating_sub(start).as_millis();
        let all = (fleet.bytes() - before) / entries as u64;
        bytes += all.saturating_sub(idle * u64::try_from(millis).unwrap_or(0) / 1_000);
    }
    times.sort_unstable();
    let reach = fleet.volume.unwrap_or_default();
    Spread {
        entries,
        median_ms: times[times.len() / 2],
        largest_ms: times[times.len() - 1],
        bytes_per_entry: bytes / u64::from(CHANGES),
        idle_bytes_a_second: idle,
        idle_micros_a_second: elapsed / u128::from(SETTLE_TIME.as_secs()) / entries as u128,
        beyond_zone_percent: reach.cross_zone * 100 / reach.total.max(1),
        beyond_region_percent: reach.cross_region * 100 / reach.total.max(1),
    }
}

fn detection(agents_per_entry: usize) -> Detection {
    let agents = AGENT_ENTRIES * agents_per_entry;
    let mut fleet = Fleet::new(AGENT_ENTRIES, agents);
    fleet.run(SETTLE_TIME * 2);
    let before = fleet.bytes();
    let clock = Timer::start();
    fleet.run(SETTLE_TIME);
    let elapsed = clock.elapsed().as_micros();
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

fn zone_outage() -> Outage {
    let agents = AGENT_ENTRIES * AGENTS_PER_ENTRY[2];
    let mut fleet = Fleet::new(AGENT_ENTRIES, agents);
    fleet.run(SETTLE_TIME * 2);
    let lost_agents = agents / fleet::ZONES;
    let downs = |fleet: &Fleet, wanted: usize| {
        let entries = (0..AGENT_ENTRIES).filter(|number| !fleet.is_frozen(*number));
        let mut downs = entries.map(|number| {
            let views = fleet.entries[number].services();
            let members = views.flat_map(|view| view.targets.values());
            members.filter(|member| member.health != Health::Up).count()
        });
        downs.all(|down| down == wanted)
    };
    let before = fleet.bytes();
    let start = fleet.now;
    fleet.frozen_zone = Some(0);
    fleet.run_until(TIMEOUT, POLL_INTERVAL, |fleet| downs(fleet, lost_agents));
    let lost_ms = fleet.now.saturating_sub(start).as_millis();
    fleet.run(SETTLE_TIME);
    let loss_seconds = fleet.now.saturating_sub(start).as_secs();
    let loss_bytes = fleet.bytes() - before;
    let before = fleet.bytes();
    let start = fleet.now;
    fleet.frozen_zone = None;
    fleet.run_until(TIMEOUT, POLL_INTERVAL, |fleet| downs(fleet, 0));
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
