//! Datagrams that wait for room on the host's network link.
use std::net::SocketAddr;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use limit::link::Change;
use limit::link::Class;
use limit::link::Counts;
use limit::link::Link;
use limit::link::Offer;
use limit::link::Outcome;
use limit::link::Packet;
use limit::link::Taken;

use crate::forwarder::usage::Kind;
use crate::metric::forwarder::to_count;

/// Rate in bytes per second from which a link is not paced, 1,000 Mbit/s: no host here
/// can fill it.
const UNPACED_RATE: u64 = 125_000_000;

/// Bytes per second in a megabit per second.
const BYTES_PER_MBPS: f64 = 125_000.0;

/// Datagrams that a thread other than the sender sends at once after the sender has
/// stalled. More would delay what that thread reads.
const MAX_TAKEN: usize = 4;

/// The socket that a datagram is sent from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Socket {
    /// That for frames.
    Frames,
    /// That for packets.
    Packets,
}

/// Where a datagram is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The socket that it is sent from.
    pub socket: Socket,
    /// UDP address of the receiver.
    pub to: SocketAddr,
    /// Kind of the content, by which its bytes are counted.
    pub kind: Kind,
}

/// A datagram that waits.
#[derive(Debug)]
pub struct Datagram {
    /// Where it is sent.
    pub envelope: Envelope,
    /// Its content.
    pub content: Vec<u8>,
}

/// What is to be done with a datagram that was offered.
#[derive(Debug)]
pub enum Decision {
    /// The caller sends it at once.
    Send,
    /// It waits, or was dropped and counted since too many of its class wait.
    Done,
    /// As before, and the caller sends these, since the sender has stalled.
    Help(Vec<Taken<Datagram>>),
}

/// Load of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Bytes per second that are used at most.
    pub rate: f64,
    /// Bytes per second that were to be sent.
    pub load: f64,
    /// True while the link counts as full.
    pub is_full: bool,
}

/// Paced link, shared by all threads.
#[derive(Debug)]
pub struct Pacer {
    /// Bytes per second that the settings state; 0 where they state none.
    stated: AtomicU64,
    link: Mutex<Link<Datagram>>,
    /// Wakes the sender when the first datagram waits.
    waits: Condvar,
}

impl Pacer {
    /// Creates the pacer of a link, whose rate the settings may state.
    #[must_use]
    pub fn new(mbps: Option<f64>, now: Duration) -> Self {
        Self {
            stated: AtomicU64::new(stated(mbps)),
            link: Mutex::new(Link::new(mbps.unwrap_or(1.0) * BYTES_PER_MBPS, now)),
            waits: Condvar::new(),
        }
    }

    /// Returns whether datagrams are to be offered. They are sent as they come where the
    /// rate of the link is not stated, or is one that no host can fill.
    #[must_use]
    pub fn is_active(&self) -> bool {
        is_paced(self.stated.load(Ordering::Relaxed))
    }

    /// Returns the rate in bytes per second that the settings state, if they do.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "rates of links are far below")]
    pub fn stated_rate(&self) -> Option<f64> {
        let rate = self.stated.load(Ordering::Relaxed);
        (rate > 0).then_some(rate as f64)
    }

    /// Replaces the rate of the link. What already waits is sent by the thread that
    /// sends what waits.
    pub fn set_rate(&self, now: Duration, mbps: Option<f64>) {
        let stated = stated(mbps);
        if let Some(mbps) = mbps.filter(|_| is_paced(stated)) {
            self.lock().set_rate(now, mbps * BYTES_PER_MBPS);
        }
        self.stated.store(stated, Ordering::Relaxed);
    }

    /// Decides on a datagram, and copies it if it has to wait.
    pub fn offer(
        &self,
        now: Duration,
        packet: Packet,
        envelope: Envelope,
        content: &[u8],
    ) -> Decision {
        let mut link = self.lock();
        let Offer::Wait(place) = link.offer(now, packet) else {
            return Decision::Send;
        };
        let content = content.to_vec();
        let outcome = link.enqueue(now, place, Datagram { envelope, content });
        if link.is_stalled(now) {
            let taken = std::iter::from_fn(|| link.take(now));
            return Decision::Help(taken.take(MAX_TAKEN).collect());
        }
        drop(link);
        if outcome == Outcome::First {
            self.waits.notify_one();
        }
        Decision::Done
    }

    /// Waits until datagrams are to be sent, and moves them to `taken`. Returns after
    /// each wait, also if there are none.
    pub fn wait(&self, clock: impl Fn() -> Duration, taken: &mut Vec<Taken<Datagram>>) {
        let mut link = self.lock();
        let now = clock();
        match link.due() {
            None => drop(self.waits.wait(link)),
            Some(due) if due > now => {
                drop(self.waits.wait_timeout(link, due.saturating_sub(now)));
            }
            Some(_) => taken.extend(std::iter::from_fn(|| link.take(now))),
        }
    }

    /// Records that the kernel did not accept a datagram in time.
    pub fn record_refusal(&self, now: Duration) {
        self.lock().record_refusal(now);
    }

    /// Records how many of the packets received recently repeat others.
    pub fn record_repeats(&self, now: Duration, received: u64, repeated: u64) {
        self.lock().record_repeats(now, received, repeated);
    }

    /// Returns whether the link has become full or free since the last call, and the
    /// bytes that wait.
    pub fn take_change(&self, now: Duration) -> Option<(Change, usize)> {
        let mut link = self.lock();
        let change = link.take_change(now)?;
        Some((change, link.waiting_bytes()))
    }

    /// Returns the load of the link.
    #[must_use]
    pub fn load(&self, now: Duration) -> Load {
        let link = self.lock();
        Load {
            rate: link.rate(),
            load: link.load(now),
            is_full: link.is_full(),
        }
    }

    /// Returns the counters of a class.
    #[must_use]
    pub fn counts(&self, class: Class) -> Counts {
        self.lock().counts(class)
    }

    fn lock(&self) -> MutexGuard<'_, Link<Datagram>> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rate in bytes per second that the settings state; 0 where they state none.
fn stated(mbps: Option<f64>) -> u64 {
    mbps.map_or(0, |mbps| to_count(mbps * BYTES_PER_MBPS))
}

/// Returns true if a link with a stated rate is to be paced.
const fn is_paced(stated: u64) -> bool {
    stated > 0 && stated < UNPACED_RATE
}
