//! Measures what it costs to read the configuration from the store.
//!
//! Serves the stand-in of the store on 127.0.0.1, runs the readers of several
//! zones with default settings against it, and prints a table.
//!
//! ```text
//! cargo run --release -p store --example reading -- [SERVICES] [ZONES] [CHANGES]
//! ```
#![allow(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_io::Timer;
use config::Reader;
use config::Record;
use config::Service;
use config::Update;
use config::key;
use config::reader::Settings;
use futures_lite::FutureExt;
use smol::Executor;
use smol::net::TcpListener;
use standin::platform;
use standin::platform::Platform;
use standin::platform::fault::Mode;
use store::Http;
use store::Store;
use store::Swap;
use store::reader;
use wire::Revision;
use wire::ZoneId;

/// Number of entries in each zone.
const ENTRIES_PER_ZONE: usize = 6;

/// Time over which calls are counted without changes.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Time between checks whether all services have been read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Duration of the outage.
const OUTAGE_TIME: Duration = Duration::from_secs(20);

/// An entry's store client and the updates that its reader publishes.
struct Entry {
    http: Http,
    updates: Receiver<Update>,
}

/// Numbers of services, zones and changes, from the command line.
struct Plan {
    services: u16,
    zones: ZoneId,
    changes: u16,
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1).map(|text| text.parse::<u16>());
    let mut next = |default| args.next().unwrap_or(Ok(default));
    let plan = Plan {
        services: next(7700)?,
        zones: next(9)?,
        changes: next(200)?,
    };
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(measure(plan, executor.clone())))
}

async fn measure(plan: Plan, executor: Arc<Executor<'static>>) -> Result<(), Box<dyn Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let platform = Platform::default();
    let serve = platform::serve(listener, platform.clone(), executor.clone());
    executor.spawn(serve).detach();
    let operator = Http::new(store::http::Settings::new(address));
    for number in 0..plan.services {
        write_service(&operator, number, 0).await?;
    }
    let start = Instant::now();
    let entries = start_readers(&plan, address, &executor);
    let readers = wait_for_readers(&entries, &plan).await;
    println!("services                       {}", plan.services);
    println!("zones                          {}", plan.zones);
    println!("entries                        {}", entries.len());
    println!("readers                        {}", readers.len());
    println!(
        "first read of everything, ms   {}",
        start.elapsed().as_millis()
    );
    let bytes = received_bytes(&entries) / readers.len() as u64;
    println!("  bytes a reader               {bytes}");
    measure_idle(&platform, &entries, readers.len()).await;
    measure_changes(&plan, &operator, &entries, &readers).await?;
    measure_outage(&platform, &operator, &entries).await
}

fn start_readers(
    plan: &Plan,
    address: SocketAddr,
    executor: &Arc<Executor<'static>>,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    for zone in 0..plan.zones {
        for rank in 0..ENTRIES_PER_ZONE {
            let http = Http::new(store::http::Settings::new(address));
            let (sender, updates) = async_channel::unbounded();
            let (inputs, events) = async_channel::unbounded();
            let reader = Reader::new(Settings::new(zone), rank, fastrand::u64(..));
            let run = reader::run(http.clone(), reader, events, sender);
            executor
                .spawn(async move {
                    run.await;
                    drop(inputs);
                })
                .detach();
            entries.push(Entry { http, updates });
        }
    }
    entries
}

/// Waits until as many entries as there are reader locks have received all
/// services, and returns those entries.
async fn wait_for_readers<'a>(entries: &'a [Entry], plan: &Plan) -> Vec<&'a Entry> {
    let reader_locks = usize::from(plan.zones) * usize::from(Settings::new(0).readers);
    let services = usize::from(plan.services);
    loop {
        let ready = entries
            .iter()
            .filter(|entry| entry.updates.len() >= services);
        let ready: Vec<_> = ready.collect();
        if ready.len() >= reader_locks {
            for entry in &ready {
                while entry.updates.try_recv().is_ok() {}
            }
            return ready;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn measure_idle(platform: &Platform, entries: &[Entry], readers: usize) {
    let (calls, bytes) = (platform.calls(), received_bytes(entries));
    Timer::after(IDLE_TIME).await;
    let seconds = IDLE_TIME.as_secs_f64();
    let after = platform.calls();
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    println!(
        "idle: reads a second           {:.2}",
        rate(calls.reads, after.reads)
    );
    println!(
        "idle: watches a second         {:.2}",
        rate(calls.watches, after.watches)
    );
    println!(
        "idle: lease calls a second     {:.2}",
        rate(calls.leases, after.leases)
    );
    println!("idle: watches that wait        {}", after.waiting);
    let bytes = rate(bytes, received_bytes(entries)) / readers as f64;
    println!("idle: bytes a second a reader  {bytes:.0}");
}

async fn measure_changes(
    plan: &Plan,
    operator: &Http,
    entries: &[Entry],
    readers: &[&Entry],
) -> Result<(), Box<dyn Error>> {
    let before = received_bytes(entries);
    let mut delays = Vec::new();
    for number in 0..plan.changes {
        let number = number % plan.services;
        let item = operator.get(&key::service(address_of(number))).await?;
        let base = item.map_or(0, |item| item.revision);
        let start = Instant::now();
        let revision = write_service(operator, number, base).await?;
        for reader in readers {
            while reader.updates.recv().await?.revision < revision {}
        }
        delays.push(start.elapsed());
    }
    delays.sort();
    let percentile_ms =
        |percent: usize| delays[(delays.len() - 1) * percent / 100].as_secs_f64() * 1000.0;
    println!("change: p50 ms to all readers  {:.1}", percentile_ms(50));
    println!("change: p99 ms to all readers  {:.1}", percentile_ms(99));
    println!("change: max ms to all readers  {:.1}", percentile_ms(100));
    let bytes = (received_bytes(entries) - before) / u64::from(plan.changes) / readers.len() as u64;
    println!("change: bytes a reader         {bytes}");
    Ok(())
}

async fn measure_outage(
    platform: &Platform,
    operator: &Http,
    entries: &[Entry],
) -> Result<(), Box<dyn Error>> {
    let before = platform.calls().refused;
    platform.set_faults(|faults| faults.mode = Mode::Down);
    Timer::after(OUTAGE_TIME).await;
    let refused = platform.calls().refused - before;
    println!(
        "outage: calls a second         {:.1}",
        refused as f64 / OUTAGE_TIME.as_secs_f64()
    );
    platform.set_faults(|faults| faults.mode = Mode::Up);
    let item = operator.get(&key::service(address_of(0))).await?;
    let revision = write_service(operator, 0, item.map_or(0, |item| item.revision)).await?;
    let start = Instant::now();
    // The first entry that reads the change would gossip it to the others.
    let mut first = async { futures_lite::future::pending().await }.boxed();
    for entry in entries {
        let updated = async {
            while let Ok(update) = entry.updates.recv().await {
                if update.revision >= revision {
                    break;
                }
            }
        };
        first = first.or(updated).boxed();
    }
    first.await;
    println!(
        "outage: ms to the next change  {}",
        start.elapsed().as_millis()
    );
    Ok(())
}

fn received_bytes(entries: &[Entry]) -> u64 {
    entries
        .iter()
        .map(|entry| entry.http.counts().received_bytes)
        .sum()
}

fn address_of(number: u16) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, 1], 1000 + number))
}

async fn write_service(
    http: &Http,
    number: u16,
    expected: Revision,
) -> Result<Revision, config::Fault> {
    let address = address_of(number);
    let service = Service {
        name: format!("service-{number}"),
        operation: format!("{:032x}", fastrand::u128(..)),
        ..Service::new(address)
    };
    let mut record = Record::create(service.clone());
    for _ in 0..config::record::MAX_HISTORY {
        record = Record::replace(service.clone(), &record, expected);
    }
    let swap = Swap {
        key: key::service(address),
        value: record.to_json().unwrap_or_default(),
        expected,
        touch: Some(key::change_marker(key::bucket(address))),
        fence: None,
    };
    http.swap(swap).await
}
