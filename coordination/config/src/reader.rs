//! Decides whether this entry reads the configuration from the store.
//!
//! In each zone a few entries hold a reader lock by lease and read the store;
//! all other entries receive the configuration by gossip. Only the entries with
//! the lowest addresses of a zone search for a free lock, so that the number of
//! calls does not grow with the number of entries.
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
//! let actions = reader.on_event(Duration::ZERO, Event::Tick);
//! // The first entry of its zone searches for a free reader lock.
//! assert!(matches!(
//!     &actions[..],
//!     [Action::Lease(action)] if matches!(action.call, Call::List { .. })
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
    /// Number of reader locks of a zone, and so of entries that read.
    pub readers: u8,
    /// Number of entries of a zone, by rank, that search for a free reader lock.
    pub candidates: usize,
    /// Settings of the lease of a reader lock.
    pub lease: lease::Settings,
    /// Settings of the feed that reads the store.
    pub feed: feed::Settings,
}

impl Settings {
    /// Returns the default settings for an entry in `zone`.
    #[must_use]
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            readers: 2,
            candidates: 4,
            lease: lease::Settings::default(),
            feed: feed::Settings::default(),
        }
    }
}

/// An event that a reader handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A deadline was reached, the reader starts, or a call ended whose answer is
    /// ignored.
    Tick,
    /// New [`rank`] of this entry in its zone.
    Rank(usize),
    /// Answer to an [`Action::Lease`].
    Lease(CallId, lease::Answer),
    /// Answer to a [`feed::Action::List`] or [`feed::Action::Watch`].
    Feed(CallId, Result<Listing, Fault>),
    /// The process is about to stop.
    Stop,
}

/// An action to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make a call for the lease; its answer is passed back as [`Event::Lease`].
    Lease(lease::Action),
    /// Make a call for the feed, whose answer is passed back as
    /// [`Event::Feed`], or publish an update.
    Feed(feed::Action),
}

/// State machine that reads the configuration while it holds a reader lock.
#[derive(Clone, Debug)]
pub struct Reader {
    candidates: usize,
    lease: Lease,
    feed: Feed,
}

/// Returns the rank of an entry: the number of other entries of its zone with a
/// lower address.
#[must_use]
pub fn rank(own: SocketAddr, others: impl IntoIterator<Item = SocketAddr>) -> usize {
    others.into_iter().filter(|other| *other < own).count()
}

impl Reader {
    /// Creates a reader for an entry with this initial [`rank`], which
    /// [`Event::Rank`] updates; `seed` determines the jitter of its calls.
    #[must_use]
    pub fn new(settings: Settings, rank: usize, seed: u64) -> Self {
        let keys = (0..settings.readers)
            .map(|number| key::reader_lock(settings.zone, number))
            .collect();
        let prefix = key::reader_lock_prefix(settings.zone);
        let mut lease = Lease::new(settings.lease, prefix, keys, seed);
        lease.set_wanted(rank < settings.candidates);
        Self {
            candidates: settings.candidates,
            lease,
            feed: Feed::new(settings.feed, seed),
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let (calls, feed_answer) = match event {
            Event::Rank(rank) => {
                self.lease.set_wanted(rank < self.candidates);
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
            // The lock may have passed to another entry, which then reads instead.
            (false, true) => self.feed.stop(),
            _ => {}
        }
        if let Some((id, answer)) = feed_answer {
            let feed_actions = self.feed.on_answer(now, id, answer);
            actions.extend(feed_actions.into_iter().map(Action::Feed));
        }
        actions.extend(self.feed.tick(now).into_iter().map(Action::Feed));
        actions
    }

    /// Returns the time at which [`Event::Tick`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        [self.lease.next_deadline(), self.feed.next_deadline()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns `true` if this entry holds a reader lock whose lease cannot have
    /// expired at `now`.
    #[must_use]
    pub fn is_reading(&self, now: Duration) -> bool {
        self.lease.holds(now)
    }

    /// Returns the counts of the feed.
    #[must_use]
    pub const fn counts(&self) -> feed::Counts {
        self.feed.counts()
    }
}
