//! Evidence of whether there is a backend server that has not announced itself to
//! this process.
//!
//! A host can come back from a loss of power without its server, and a server can
//! be placed before it starts. Until the first announcement, the packets that come
//! back tell such a host from one whose agent alone was restarted.
use std::time::Duration;

use wire::segment::Kind;

/// Number of opening packets that a backend server returns, without accepting
/// one, before it is no longer assumed to be ready. A server whose queue is full
/// returns some as well, but also accepts others.
const MAX_RETURNED_OPENINGS: u8 = 3;

/// Time for which a backend server must have returned opening packets before it
/// counts as missing. A server that is too busy to accept them sends an answer in
/// that time.
const MIN_RETURNING_TIME: Duration = Duration::from_millis(300);

/// Number of announcement intervals without an announcement after which a backend
/// server that has returned any packet counts as missing.
const MISSED_ANNOUNCEMENTS: f64 = 1.5;

/// Time for which no process must have listened at the backend server's address before
/// the server counts as missing. One that starts together with its host listens by then.
const MIN_ABSENT_TIME: Duration = Duration::from_millis(500);

/// Time after the start of this process from which an absence counts: its host may be
/// starting too.
const START_DELAY: Duration = Duration::from_millis(250);

/// Whether a process listens at the backend server's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    /// Not looked at yet, or there was one at the first look.
    Unknown,
    /// None has listened.
    Absent {
        /// Time of the first look.
        since: Duration,
    },
    /// One listens where none did before.
    Appeared,
}

/// What the agent has seen of its backend server since the agent's start.
#[derive(Debug)]
pub struct Presence {
    started_at: Duration,
    /// Opening packets that the server returned, while it accepted none.
    returned_openings: u8,
    /// Time of the first packet of any kind that it returned.
    first_returned: Option<Duration>,
    listener: Listener,
    /// Whether it has sent a packet of its own.
    has_sent: bool,
    /// Whether it has announced its end.
    has_left: bool,
    /// Whether it has sent a packet on a flow that this process had not seen.
    has_shown_prior_flow: bool,
}

impl Presence {
    /// Creates the state of an agent that starts now.
    pub const fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            returned_openings: 0,
            first_returned: None,
            listener: Listener::Unknown,
            has_sent: false,
            has_left: false,
            has_shown_prior_flow: false,
        }
    }

    /// Records a packet that the server returned.
    pub fn record_returned(&mut self, now: Duration, kind: Kind) {
        self.first_returned.get_or_insert(now);
        if kind == Kind::Open {
            self.returned_openings = self.returned_openings.saturating_add(1);
        }
    }

    /// Records that no process listens at the server's address.
    pub fn record_absent(&mut self, now: Duration) {
        if self.listener == Listener::Unknown {
            self.listener = Listener::Absent { since: now };
        }
    }

    /// Records that a process listens at the server's address.
    pub const fn record_listening(&mut self) {
        if self.is_absent() {
            self.listener = Listener::Appeared;
        }
    }

    /// Returns true if no process has listened at the server's address.
    pub const fn is_absent(&self) -> bool {
        matches!(self.listener, Listener::Absent { .. })
    }

    /// Records a packet that the server sent by itself.
    pub fn record_sent(&mut self, kind: Kind) {
        self.has_sent = true;
        if kind == Kind::Accept {
            self.returned_openings = 0;
        }
    }

    /// Records that the server has sent a packet on a flow that this process had not
    /// seen.
    pub const fn record_prior_flow(&mut self) {
        self.has_shown_prior_flow = true;
    }

    /// Returns true if the server started after this process: one listens at its address
    /// where none did before, and it has sent nothing on a flow that this process had not
    /// seen.
    pub const fn has_started_since(&self) -> bool {
        matches!(self.listener, Listener::Appeared) && !self.has_shown_prior_flow
    }

    /// Records that the server has announced its end.
    pub const fn record_end(&mut self) {
        self.has_left = true;
    }

    /// Returns true if the server may accept new flows.
    pub const fn may_be_ready(&self) -> bool {
        !self.has_left && self.returned_openings < MAX_RETURNED_OPENINGS
    }

    /// Returns true if there is no server that could hold flows. A live one
    /// announces itself once in `announcement_interval`.
    pub fn is_missing(&self, now: Duration, announcement_interval: Duration) -> bool {
        let counts_from = self.started_at + START_DELAY;
        match self.listener {
            Listener::Absent { since }
                if !self.has_sent && now >= since.max(counts_from) + MIN_ABSENT_TIME =>
            {
                return true;
            }
            _ => {}
        }
        let Some(first_returned) = self.first_returned else {
            return self.has_left;
        };
        let only_returns = self.returned_openings >= MAX_RETURNED_OPENINGS
            && now >= first_returned + MIN_RETURNING_TIME;
        let is_overdue =
            now >= self.started_at + announcement_interval.mul_f64(MISSED_ANNOUNCEMENTS);
        self.has_left || !self.has_sent && (only_returns || is_overdue)
    }
}
