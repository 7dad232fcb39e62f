//! Sending and receiving, with counters and rate limits.
use std::net::SocketAddr;
use std::time::Duration;

use crate::Action;
use crate::Message;
use crate::Refusal;
use crate::Status;
use crate::budget::Budget;

/// Counters and rate limits of the messages of a process.
#[derive(Debug)]
pub struct Link {
    sent: Budget,
    received: Budget,
    /// Counters.
    pub status: Status,
    /// Time at which a message last arrived.
    pub last_received: Duration,
}

impl Link {
    /// Creates a link with a budget of `rate` bytes per second in each
    /// direction.
    #[must_use]
    pub fn new(rate: u32, now: Duration) -> Self {
        Self {
            sent: Budget::new(rate, now),
            received: Budget::new(rate, now),
            status: Status::default(),
            last_received: now,
        }
    }

    /// Counts a received message.
    pub fn receive(&mut self, now: Duration, message: &Message) {
        let bytes = message.datagram_bytes();
        self.last_received = now;
        self.received.refill(now);
        self.received.charge(bytes);
        self.sent.refill(now);
        self.status.received += 1;
        self.status.received_bytes += bytes;
    }

    /// Refills the budgets.
    pub fn refill(&mut self, now: Duration) {
        self.received.refill(now);
        self.sent.refill(now);
    }

    /// Sends a message regardless of the budget.
    pub fn send(&mut self, to: SocketAddr, message: Message, actions: &mut Vec<Action>) {
        let bytes = message.datagram_bytes();
        self.sent.charge(bytes);
        self.status.sent += 1;
        self.status.sent_bytes += bytes;
        actions.push(Action::Send { to, message });
    }

    /// Sends a message if the budget allows it; returns whether it was sent.
    pub fn send_bulk(
        &mut self,
        to: SocketAddr,
        message: Message,
        actions: &mut Vec<Action>,
    ) -> bool {
        if !self.may_send() {
            self.refuse(Refusal::Budget);
            return false;
        }
        self.send(to, message, actions);
        true
    }

    /// Returns whether bulk messages may be sent.
    #[must_use]
    pub const fn may_send(&self) -> bool {
        self.sent.allows_bulk()
    }

    /// Returns whether bulk messages may be requested.
    #[must_use]
    pub const fn may_request(&self) -> bool {
        self.received.allows_bulk()
    }

    /// Counts a refusal.
    pub fn refuse(&mut self, reason: Refusal) {
        self.status.refuse(reason);
    }
}
