//! Sends and receives, counted and paced.
use std::net::SocketAddr;
use std::time::Duration;

use crate::Action;
use crate::Message;
use crate::Refusal;
use crate::Status;
use crate::budget::Budget;

/// Counts and paces the messages of a process.
#[derive(Debug)]
pub struct Link {
    sent: Budget,
    received: Budget,
    /// Counters.
    pub status: Status,
    /// When a message last arrived.
    pub heard: Duration,
}

impl Link {
    /// Allows `rate` bytes a second each way.
    #[must_use]
    pub fn new(rate: u32, now: Duration) -> Self {
        Self {
            sent: Budget::new(rate, now),
            received: Budget::new(rate, now),
            status: Status::default(),
            heard: now,
        }
    }

    /// Counts a message that arrived.
    pub fn receive(&mut self, now: Duration, message: &Message) {
        let bytes = message.datagram_bytes();
        self.heard = now;
        self.received.refill(now);
        self.received.charge(bytes);
        self.sent.refill(now);
        self.status.received += 1;
        self.status.received_bytes += bytes;
    }

    /// Adds what has become available.
    pub fn refill(&mut self, now: Duration) {
        self.received.refill(now);
        self.sent.refill(now);
    }

    /// Sends a message in any case.
    pub fn send(&mut self, to: SocketAddr, message: Message, actions: &mut Vec<Action>) {
        let bytes = message.datagram_bytes();
        self.sent.charge(bytes);
        self.status.sent += 1;
        self.status.sent_bytes += bytes;
        actions.push(Action::Send { to, message });
    }

    /// Sends a message if there is budget left; true where it was sent.
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

    /// True while bulk may be sent.
    #[must_use]
    pub const fn may_send(&self) -> bool {
        self.sent.allows_bulk()
    }

    /// True while bulk may be asked for.
    #[must_use]
    pub const fn may_ask(&self) -> bool {
        self.received.allows_bulk()
    }

    /// Counts a refusal.
    pub fn refuse(&mut self, reason: Refusal) {
        self.status.refuse(reason);
    }
}
