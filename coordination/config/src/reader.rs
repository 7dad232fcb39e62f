//! Decides whether this entry reads the configuration from the store.
//!
//! A few entries of each zone hold a seat by lease and read; all others learn
//! by gossip. Only the first few entries of a zone, by address, look for a free
//! seat, so that the calls do not grow with the fleet.
//!
//! ```
//! use std::time::Duration;
//!
//! use config::Reader;
//! use config::lease::Call;
//! use config::reader::Action;
//! use config::reader::Event;
//! use config::reader::Settings;
//!
//! let mut reader = Reader::new(Settings::new(1), 0, 7);
//! let actions = reader.handle(Duration::ZERO, Event::Tick);
//! // The first of its zone looks for a free seat.
//! assert!(matches!(
//!     &actions[..],
//!     [Action::Lease(action)] if matches!(action.call, Call::Look { .. })
//! ));
//! ```
use std::net::SocketAddr;
use std::time::Duration;

use wire::ZoneId;

use crate::Fault;
use crate::Listing;
use crate::feed;
use crate::feed::Feed;
use crate::key;
use crate::lease;
use crate::lease::CallId;
use crate::lease::Lease;

/// Settings of a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Availability zone of the entry.
    pub zone: ZoneId,
    /// Entries of a zone that read.
    pub seats: u8,
    /// Entries of a zone that look for a free seat, by rank.
    pub candidates: usize,
    /// The lease of a seat.
    pub lease: lease::Settings,
    /// The reading.
    pub feed: feed::Settings,
}

impl Settings {
    /// The default settings in a zone.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            seats: 2,
            candidates: 4,
            lease: lease::Settings::default(),
            feed: feed::Settings::default(),
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A deadline was reached, or nothing in particular.
    Tick,
    /// The [`rank`] of this entry among those of its zone.
    Rank(usize),
    /// Answer to [`Action::Lease`].
    Lease(CallId, lease::Answer),
    /// Answer to [`feed::Action::List`] or [`feed::Action::Watch`].
    Feed(CallId, Result<Listing, Fault>),
    /// The process is about to stop.
    Stop,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A call for the lease; the answer comes back as [`Event::Lease`].
    Lease(lease::Action),
    /// A step of the reading; the answer to a call comes back as
    /// [`Event::Feed`].
    Feed(feed::Action),
}

/// Reads the configuration while it holds a seat.
#[derive(Clone, Debug)]
pub struct Reader {
    candidates: usize,
    lease: Lease,
    feed: Feed,
}

/// The rank of an entry: how many other entries of its zone have a smaller
/// address.
#[must_use]
pub fn rank(own: SocketAddr, others: impl IntoIterator<Item = SocketAddr>) -> usize {
    others.into_iter().filter(|other| *other < own).count()
}

impl Reader {
    /// Makes a reader of an entry whose [`rank`] is `rank` as far as is known;
    /// `seed` spreads its calls.
    #[must_use]
    pub fn new(settings: Settings, rank: usize, seed: u64) -> Self {
        let keys = (0..settings.seats)
            .map(|number| key::seat(settings.zone, number))
            .collect();
        let prefix = key::seats(settings.zone);
        let mut lease = Lease::new(settings.lease, prefix, keys, seed);
        lease.want(rank < settings.candidates);
        Self {
            candidates: settings.candidates,
            lease,
            feed: Feed::new(settings.feed, seed),
        }
    }

    /// Takes an event, and says what to do.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let (calls, read) = match event {
            Event::Rank(rank) => {
                self.lease.want(rank < self.candidates);
                (Vec::new(), None)
            }
            Event::Lease(id, answer) => (self.lease.on_answer(now, id, answer), None),
            Event::Stop => (self.lease.release(now), None),
            Event::Feed(id, answer) => (Vec::new(), Some((id, answer))),
            Event::Tick => (Vec::new(), None),
        };
        let due = self.lease.tick(now);
        let calls = calls.into_iter().chain(due).map(Action::Lease);
        let mut actions: Vec<Action> = calls.collect();
        match (self.lease.holds(now), self.feed.is_running()) {
            (true, false) => self.feed.start(now),
            // Whoever holds the seat now reads in this entry's place.
            (false, true) => self.feed.stop(),
            _ => {}
        }
        if let Some((id, answer)) = read {
            let steps = self.feed.on_answer(now, id, answer);
            actions.extend(steps.into_iter().map(Action::Feed));
        }
        actions.extend(self.feed.tick(now).into_iter().map(Action::Feed));
        actions
    }

    /// When [`Event::Tick`] has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        [self.lease.next_deadline(), self.feed.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether this entry holds a seat for sure.
    #[must_use]
    pub fn is_reading(&self, now: Duration) -> bool {
        self.lease.holds(now)
    }

    /// Counts of the reading.
    #[must_use]
    pub const fn counts(&self) -> feed::Counts {
        self.feed.counts()
    }
}
