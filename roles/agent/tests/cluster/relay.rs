//! Packets relayed by an entry, and the replies to them.
use std::collections::BTreeMap;

use agent::Event;
use wire::Frame;
use wire::Hop;
use wire::Relay;
use wire::Token;
use wire::caller::Packet;
use wire::caller::Refusal;
use wire::caller::packet::Body;

use super::Cluster;
use super::caller;
use super::entry;
use super::open;
use super::service;

impl Cluster {
    fn hop(&self, index: usize) -> Hop {
        Hop {
            target: self.targets[index].id,
            address: self.targets[index].address,
        }
    }

    /// Returns the index of the first agent in the order of a flow.
    pub fn home(&self, flow: u64) -> usize {
        self.ranked(flow)[0]
    }

    /// Returns the indexes of the agents in the order of a flow.
    pub fn ranked(&self, flow: u64) -> Vec<usize> {
        let order = route::Order::new(&self.present_targets());
        order
            .top(flow, self.targets.len())
            .map(|target| usize::try_from(target.id - 1000).unwrap())
            .collect()
    }

    /// Builds the relayed packet that an entry with a complete view sends.
    pub fn relay(&self, packet: &Packet) -> Relay {
        let path = self.ranked(packet.flow);
        self.relay_along(packet, &path[..path.len().min(3)])
    }

    /// Builds a relayed packet with the given agents as its path.
    pub fn relay_along(&self, packet: &Packet, path: &[usize]) -> Relay {
        Relay {
            caller: caller(),
            service: service(),
            entry: entry(),
            revision: 1,
            home: self.hop(path[0]),
            path: path.iter().map(|&index| self.hop(index)).collect(),
            position: 0,
            bids: Vec::new(),
            is_settled: false,
            packet: packet.to_bytes(),
        }
    }

    /// Sends a packet through an entry and delivers all resulting messages.
    pub fn send(&mut self, packet: &Packet) {
        let relay = self.relay(packet);
        self.send_relay(relay);
    }

    pub fn send_along(&mut self, packet: &Packet, path: &[usize]) {
        let relay = self.relay_along(packet, path);
        self.send_relay(relay);
    }

    pub fn send_relay(&mut self, relay: Relay) {
        let to = relay.path[usize::from(relay.position)].address;
        if let Some(index) = self.live_index(to) {
            let frame = Frame::Relay(relay);
            self.event(
                index,
                Event::Frame {
                    from: entry(),
                    frame,
                },
            );
        }
        self.deliver_all();
    }

    /// Opens a flow and returns its token.
    pub fn open(&mut self, flow: u64) -> Token {
        self.send(&open(flow));
        self.take_opened().expect("the open should be answered")
    }

    /// Opens a flow at the given agent.
    pub fn open_at(&mut self, flow: u64, index: usize) -> Token {
        self.send_along(&open(flow), &[index]);
        self.take_opened().expect("the open should be answered")
    }

    pub fn take_opened(&mut self) -> Option<Token> {
        let replies = std::mem::take(&mut self.replies);
        replies.iter().find_map(|packet| match &packet.body {
            Some(Body::Opened(opened)) => Token::from_bytes(&opened.holder),
            _ => None,
        })
    }

    pub fn take_refusal(&mut self) -> Option<Refusal> {
        let replies = std::mem::take(&mut self.replies);
        replies.into_iter().find_map(|packet| match packet.body {
            Some(Body::Refusal(refusal)) => Some(refusal),
            _ => None,
        })
    }

    /// Removes all replies and returns the complete answer to a request, if
    /// they contain it.
    pub fn take_answer(&mut self, request: u64) -> Option<Vec<u8>> {
        let replies = std::mem::take(&mut self.replies);
        let mut chunks = BTreeMap::new();
        let mut count = None;
        for packet in replies {
            if let Some(Body::Chunk(chunk)) = packet.body
                && chunk.request == request
            {
                count = Some(chunk.count as usize);
                chunks.insert(chunk.index, chunk.payload);
            }
        }
        (count == Some(chunks.len())).then(|| chunks.into_values().flatten().collect())
    }
}
