//! Reads the configuration from the platform's store while this entry holds a
//! reader lock of its zone.
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use config::Reader;
use config::reader;
use config::reader::Event;
use futures_lite::FutureExt;
use member::Registry;
use store::Http;
use wire::ZoneId;

use crate::entry::control::Input;
use crate::settings;

/// Timeout of a store call by the reader. Longer than that of an operator's
/// call, so that a slow store can still be read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which the rank of this entry is checked.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Reports changes of this entry's rank among the live entries of its zone to
/// the store reader.
pub struct Ranking {
    own: SocketAddr,
    zone: ZoneId,
    rank: Arc<AtomicUsize>,
    due: Duration,
    events: Sender<Event>,
}

impl Ranking {
    /// Creates a ranking that starts with the rank among the peers in the settings.
    #[must_use]
    pub fn new(settings: &settings::Entry, events: Sender<Event>) -> Self {
        Self {
            own: settings.listen,
            zone: settings.zone,
            rank: Arc::new(AtomicUsize::new(first_rank(settings))),
            due: Duration::ZERO,
            events,
        }
    }

    /// Returns the rank, which changes with the live entries.
    #[must_use]
    pub fn rank(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.rank)
    }

    /// Checks the rank if the check is due, and reports a change.
    pub fn tick(&mut self, now: Duration, registry: &Registry) {
        if now < self.due {
            return;
        }
        self.due = now + RANK_INTERVAL;
        let live: HashSet<SocketAddr> = registry.live_entries().collect();
        let zone = registry
            .entries()
            .filter(|entry| entry.zone == self.zone && live.contains(&entry.address))
            .map(|entry| entry.address);
        let rank = reader::rank(self.own, zone);
        let is_changed = rank != self.rank.load(Ordering::Relaxed);
        if is_changed && self.events.try_send(Event::Rank(rank)).is_ok() {
            self.rank.store(rank, Ordering::Relaxed);
        }
    }
}

/// Runs the store reader until it stops, and forwards the configurations that it
/// reads to the control thread.
pub async fn run(
    settings: settings::Entry,
    store: Http,
    events: Receiver<Event>,
    control: Sender<Input>,
) {
    let rank = first_rank(&settings);
    let reader = Reader::new(
        reader::Settings::new(settings.zone),
        rank,
        fastrand::u64(..),
    );
    let (sender, updates) = async_channel::bounded(1);
    let reading = store::reader::run(store.with_timeout(READ_TIMEOUT), reader, events, sender);
    let forwarding = async {
        while let Ok(update) = updates.recv().await {
            let _ = control.send(Input::Update(update)).await;
        }
    };
    reading.or(forwarding).await;
}

fn first_rank(settings: &settings::Entry) -> usize {
    reader::rank(settings.listen, settings.peers.iter().copied())
}
