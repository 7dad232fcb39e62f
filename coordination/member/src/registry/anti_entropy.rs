//! Anti-entropy: two entries compare digests, descend only where they differ,
//! and exchange the records of the differing leaves.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ServiceAddress;

use super::Registry;
use crate::Action;
use crate::Message;
use crate::Refusal;
use crate::digest::lower_half;
use crate::message::Compare;
use crate::message::Leaf;
use crate::message::RecordDigest;
use crate::record::Key;
use crate::tree::BRANCHES;
use crate::tree::LEAF_LEVEL;
use crate::tree::Node;

/// Largest number of services that are requested at a time.
pub const MAX_SERVICE_REQUESTS: usize = 1_024;

/// Largest number of tries to request one service.
const MAX_SERVICE_TRIES: u32 = 8;

/// Number of peers that a service is requested from at a time.
const ASKED_PEERS: usize = 2;

/// Largest number of differing branches that one comparison follows.
const MAX_BRANCHES: usize = 4;

/// Largest number of differing leaves that one comparison lists.
const MAX_LEAVES: usize = 8;

/// Largest number of records that one message lists.
const MAX_LISTED_RECORDS: usize = 64;

/// One in this many comparisons goes to a seed, so that partitions which lost
/// contact find each other again.
const SEED_ONE_IN: usize = 10;

/// Time after its start in which an entry compares digests in each round. Until it
/// knows most entries, and they know it, gossip does not reach all.
const STARTUP_TIME: Duration = Duration::from_secs(3);

impl Registry {
    /// Starts a comparison with a peer when it is due.
    pub(super) fn compare_if_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_compare || !self.link.may_request() || !self.link.may_send() {
            return;
        }
        let is_starting = now < self.started_at + STARTUP_TIME;
        let interval = if self.is_behind || is_starting {
            self.settings.round_interval
        } else {
            self.settings.compare_interval
        };
        self.is_behind = false;
        self.next_compare = now + interval;
        let seed = self.rng.choice(&self.seeds).copied();
        let peer = match self.live_set.peers.choose_one(&mut self.rng) {
            Some(peer) if self.rng.usize(..SEED_ONE_IN) > 0 => Some(peer),
            peer => seed.or(peer),
        };
        if let Some(peer) = peer {
            let message = self.compare_message(Node::ROOT);
            self.link.send(peer, message, actions);
        }
    }

    /// Answers the digests of a peer with those of the differing children, or
    /// with the records of the differing leaves.
    pub(super) fn receive_compare(
        &mut self,
        from: SocketAddr,
        compare: &Compare,
        actions: &mut Vec<Action>,
    ) {
        let node = compare.node;
        if !node.is_valid() || node.level >= LEAF_LEVEL || compare.digests.len() != BRANCHES {
            return self.link.refuse(Refusal::Malformed);
        }
        let own = self.directory.tree().children(node);
        let pairs = (0..).zip(own.iter().zip(&compare.digests));
        let differing = pairs.filter(|(_, (own, other))| own != other);
        let mut children: Vec<Node> = differing.map(|(number, _)| node.child(number)).collect();
        self.rng.shuffle(&mut children);
        let limit = match node.level + 1 {
            LEAF_LEVEL => MAX_LEAVES,
            _ => MAX_BRANCHES,
        };
        for child in children.into_iter().take(limit) {
            let messages = match child.level {
                LEAF_LEVEL => self.leaf_messages(child),
                _ => vec![self.compare_message(child)],
            };
            for message in messages {
                self.link.send_bulk(from, message, actions);
            }
        }
    }

    /// Exchanges the records in which two leaves differ.
    pub(super) fn receive_leaf(
        &mut self,
        from: SocketAddr,
        leaf: &Leaf,
        actions: &mut Vec<Action>,
    ) {
        if leaf.first > leaf.last || leaf.records.len() > MAX_LISTED_RECORDS {
            return self.link.refuse(Refusal::Malformed);
        }
        let own: BTreeMap<Key, u32> = self
            .directory
            .range(leaf.first, leaf.last)
            .map(|(key, digest)| (key, lower_half(digest)))
            .collect();
        let theirs: BTreeMap<Key, u32> = leaf
            .records
            .iter()
            .map(|record| (record.key, record.digest))
            .collect();
        let lacking = |from: &BTreeMap<Key, u32>, to: &BTreeMap<Key, u32>| -> Vec<Key> {
            let differing = from
                .iter()
                .filter(|(key, digest)| to.get(key) != Some(digest));
            differing
                .map(|(key, _)| *key)
                .take(MAX_LISTED_RECORDS)
                .collect()
        };
        let wanted = lacking(&theirs, &own);
        let offered = lacking(&own, &theirs);
        self.is_behind |= !wanted.is_empty();
        self.request_records(from, wanted, actions);
        self.send_requested(from, &offered, actions);
    }

    /// Requests records from a peer, except those that were requested recently.
    fn request_records(&mut self, from: SocketAddr, mut keys: Vec<Key>, actions: &mut Vec<Action>) {
        keys.retain(|key| !self.requested_keys.contains(key));
        if keys.is_empty() || !self.link.may_request() {
            return;
        }
        if self
            .link
            .send_bulk(from, Message::Pull(keys.clone()), actions)
        {
            self.requested_keys.extend(keys);
        }
    }

    /// Allows records to be requested again, once in each comparison interval.
    pub(super) fn reset_requested(&mut self, now: Duration) {
        if now >= self.next_request_reset {
            self.next_request_reset = now + self.settings.compare_interval;
            self.requested_keys.clear();
        }
    }

    /// Sends the records that a peer requested.
    pub(super) fn send_requested(
        &mut self,
        from: SocketAddr,
        keys: &[Key],
        actions: &mut Vec<Action>,
    ) {
        let known = keys.iter().take(MAX_LISTED_RECORDS);
        let records = known
            .filter_map(|key| self.directory.record(*key))
            .collect();
        self.send_records(from, records, actions);
    }

    /// Sends the due requests for services, and drops those that were answered
    /// or tried often enough.
    pub(super) fn send_service_requests(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let directory = &self.directory;
        self.service_requests.retain(|address, request| {
            let view = directory.view(address);
            request.tries < MAX_SERVICE_TRIES && view.is_none_or(|view| view.config.is_none())
        });
        let mut due = Vec::new();
        for (address, request) in &mut self.service_requests {
            if now >= request.next {
                request.tries += 1;
                request.next = now + self.settings.round_interval * request.tries;
                due.push(*address);
            }
        }
        if due.is_empty() {
            return;
        }
        let mut peers = self.live_set.peers.choose(ASKED_PEERS, &mut self.rng);
        if peers.is_empty() {
            peers.clone_from(&self.seeds);
            peers.truncate(ASKED_PEERS);
        }
        for address in due {
            for peer in &peers {
                self.link
                    .send(*peer, Message::PullService(address), actions);
            }
            self.asked_peers.extend(&peers);
        }
    }

    /// Sends all records of a service.
    pub(super) fn send_service_records(
        &mut self,
        from: SocketAddr,
        address: ServiceAddress,
        actions: &mut Vec<Action>,
    ) {
        let keys = self.directory.service_keys(address);
        let records = keys
            .into_iter()
            .filter_map(|key| self.directory.record(key));
        let records = records.collect();
        self.send_records(from, records, actions);
    }

    fn compare_message(&self, node: Node) -> Message {
        Message::Compare(Compare {
            node,
            digests: self.directory.tree().children(node).to_vec(),
        })
    }

    /// Returns the messages that list the records of a leaf.
    fn leaf_messages(&self, node: Node) -> Vec<Message> {
        let records: Vec<RecordDigest> = self
            .directory
            .range(node.first(), node.last())
            .map(|(key, digest)| RecordDigest {
                key,
                digest: lower_half(digest),
            })
            .collect();
        if records.is_empty() {
            return vec![Message::Leaf(Leaf {
                first: node.first(),
                last: node.last(),
                records,
            })];
        }
        let mut first = node.first();
        let mut messages = Vec::new();
        let count = records.len().div_ceil(MAX_LISTED_RECORDS);
        for (number, chunk) in (1..).zip(records.chunks(MAX_LISTED_RECORDS)) {
            let last = match chunk.last() {
                Some(record) if number < count => record.key,
                _ => node.last(),
            };
            messages.push(Message::Leaf(Leaf {
                first,
                last,
                records: chunk.to_vec(),
            }));
            first = last.saturating_add(1);
        }
        messages
    }
}
