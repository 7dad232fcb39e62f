//! Messages between agents, and their delivery.
use std::net::SocketAddr;
use std::time::Duration;

use agent::Event;
use agent::Offer;
use agent::Outcome;
use agent::offer;
use agent::park;
use wire::Frame;

use super::Call;
use super::Cluster;

/// A message in transit.
#[derive(Clone, Debug)]
pub enum Message {
    Frame {
        from: usize,
        to: SocketAddr,
        frame: Frame,
    },
    Offer {
        from: usize,
        to: SocketAddr,
        /// Incarnation at the other end of the connection, if the agent was
        /// running.
        connected: Option<u64>,
        offer: Offer,
    },
    Withdraw {
        to: SocketAddr,
        offer: offer::Id,
    },
    Outcome {
        to: usize,
        offer: offer::Id,
        outcome: Outcome,
    },
    Park {
        from: usize,
        to: SocketAddr,
        part: park::Part,
    },
    Parked {
        to: usize,
        index: u32,
        accepted: bool,
    },
    Claim {
        from: usize,
        to: SocketAddr,
        claim: park::Claim,
    },
    Claimed {
        to: usize,
        peer: SocketAddr,
        grant: park::Grant,
    },
}

impl Cluster {
    /// Delivers a message.
    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Frame { from, to, frame } => {
                let from = self.targets[from].address;
                if let Some(index) = self.live_index(to) {
                    self.event(index, Event::Frame { from, frame });
                }
            }
            Message::Offer {
                from,
                to,
                connected,
                offer,
            } => self.deliver_offer(from, to, connected, offer),
            Message::Withdraw { to, offer } => {
                if let Some(index) = self.live_index(to) {
                    self.event(index, Event::Withdrawn { offer });
                }
            }
            Message::Outcome { to, offer, outcome } => {
                self.event(to, Event::Passed { offer, outcome });
            }
            Message::Park { from, to, part } => {
                let index = part.index;
                match self.live_index(to) {
                    Some(peer) => {
                        let call = self.register_call(Call::Park { from, index });
                        self.event(peer, Event::Park { call, part });
                    }
                    None => self.messages.push(Message::Parked {
                        to: from,
                        index,
                        accepted: false,
                    }),
                }
            }
            Message::Parked {
                to,
                index,
                accepted,
            } => self.event(to, Event::Parked { index, accepted }),
            Message::Claim { from, to, claim } => match self.live_index(to) {
                Some(peer) => {
                    let call = self.register_call(Call::Claim { from, peer: to });
                    self.event(peer, Event::Claim { call, claim });
                }
                None => self.messages.push(Message::Claimed {
                    to: from,
                    peer: to,
                    grant: park::Grant::Unreachable,
                }),
            },
            Message::Claimed { to, peer, grant } => {
                self.event(to, Event::Claimed { peer, grant });
            }
        }
    }

    /// Delivers an offer over the connection that it was sent on; fails if the
    /// receiver has restarted since.
    fn deliver_offer(&mut self, from: usize, to: SocketAddr, connected: Option<u64>, offer: Offer) {
        let id = offer.id;
        let receiver = self
            .live_index(to)
            .filter(|&index| connected == Some(self.targets[index].incarnation));
        let outcome = match receiver {
            Some(index) => {
                let call = self.register_call(Call::Offer { from, offer: id });
                return self.event(index, Event::Offered { call, offer });
            }
            None if connected.is_none() => Outcome::NotRun {
                reason: offer::Refusal::Unreachable,
                retry_after: Duration::ZERO,
            },
            None => Outcome::Unknown,
        };
        self.messages.push(Message::Outcome {
            to: from,
            offer: id,
            outcome,
        });
    }
}
