//! Gossip: news is pushed to a few entries at a time.
use std::net::SocketAddr;
use std::time::Duration;

use super::Registry;
use crate::Action;
use crate::Message;
use crate::Record;
use crate::Refusal;
use crate::fragment;
use crate::fragment::Fetch;
use crate::fragment::Fragment;
use crate::fragment::Offer;
use crate::message::Push;
use crate::message::pack;
use crate::record::Key;

/// Records that are considered at a time, the most urgent first.
const MAX_RECORDS: usize = 200;

impl Registry {
    /// Pushes news when it is due.
    pub(super) fn gossip_if_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.next_push.is_none_or(|next| now < next) {
            return;
        }
        self.link.refill(now);
        self.gossip(actions);
        self.last_push = now;
        self.next_push = match self.hot.len() {
            0 => None,
            _ => Some(now + self.settings.pace),
        };
    }

    /// Pushes news to a few entries, within the budget.
    pub(super) fn gossip(&mut self, actions: &mut Vec<Action>) {
        let keys = self.hot.order();
        if keys.is_empty() {
            return;
        }
        let peers = self.fleet.peers.choose(self.settings.fanout, &mut self.rng);
        if peers.is_empty() {
            return;
        }
        let mut records = Vec::new();
        for key in keys.into_iter().take(MAX_RECORDS) {
            match self.directory.record(key) {
                Some(record) => records.push(record),
                None => self.hot.remove(key),
            }
        }
        for batch in batches(records, true) {
            if !self.link.may_send() {
                return;
            }
            for peer in &peers {
                self.link.send(*peer, batch.message.clone(), actions);
            }
            for key in batch.keys {
                self.hot.count(key, peers.len());
            }
        }
    }

    /// Takes records that a peer sent. It learns of those that were dropped.
    pub(super) fn push(
        &mut self,
        now: Duration,
        from: SocketAddr,
        push: Push,
        actions: &mut Vec<Action>,
    ) {
        let mut dropped = Vec::new();
        for record in push.records {
            let key = record.key();
            if self.learn(now, &record, push.hot) == Err(Refusal::Departed) {
                dropped.extend(self.directory.record(key));
            }
        }
        if !dropped.is_empty() {
            self.send_records(from, dropped, actions);
        }
    }

    /// Fetches a large configuration that is newer than the one held.
    pub(super) fn offer(
        &mut self,
        now: Duration,
        from: SocketAddr,
        offer: Offer,
        actions: &mut Vec<Action>,
    ) {
        let view = self.directory.view(&offer.address);
        let held = view.and_then(|view| view.config.as_ref());
        if held.is_some_and(|held| held.revision >= offer.revision) {
            return;
        }
        if let Some(request) = self.assembler.begin(now, from, offer) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    /// Sends the fragments that a process lacks, as far as the budget goes.
    pub(super) fn fetch(&mut self, from: SocketAddr, fetch: &Fetch, actions: &mut Vec<Action>) {
        let view = self.directory.view(&fetch.offer.address);
        let Some(config) = view.and_then(|view| view.config.as_ref()) else {
            return;
        };
        for fragment in fragment::split(config, fetch) {
            let message = Message::Fragment(fragment);
            if !self.link.send_bulk(from, message, actions) {
                return;
            }
        }
    }

    /// Asks again for fragments that did not arrive.
    pub(super) fn fetch_overdue(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for request in self.assembler.overdue(now) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    /// Takes part of a large configuration, and offers it to others once it is
    /// complete.
    pub(super) fn fragment(&mut self, now: Duration, fragment: Fragment) {
        if let Some(service) = self.assembler.take(now, fragment) {
            self.publish(&Record::Service(service));
        }
    }

    fn learn(&mut self, now: Duration, record: &Record, hot: bool) -> Result<(), Refusal> {
        if self.is_own(record) {
            return Ok(());
        }
        let suspected = match record {
            Record::Suspicion(suspicion) => Some(suspicion.subject),
            _ => None,
        };
        if let Record::Target(target) = record {
            self.supersede(now, target.id, target.incarnation);
        }
        let result = self.directory.merge(record.clone());
        match result {
            Ok(()) if hot => self.heat(record),
            Ok(()) => {}
            Err(reason) => self.link.refuse(reason),
        }
        // A watcher that hears the process says so.
        if let Some(subject) = suspected {
            self.vouch(subject);
        }
        result
    }

    /// The watch on a process moves to its newer incarnation.
    fn supersede(&mut self, now: Duration, id: Key, incarnation: u64) {
        let Some(watch) = self.watches.get(id) else {
            return;
        };
        if watch.incarnation < incarnation {
            let mut watch = watch.clone();
            watch.incarnation = incarnation;
            watch.sequence = 0;
            watch.heard = now;
            self.watches.put(id, watch);
        }
    }

    /// True for a record of which this entry is the only author.
    fn is_own(&self, record: &Record) -> bool {
        match record {
            Record::Entry(entry) => {
                entry.address == self.identity.address
                    && entry.incarnation <= self.identity.incarnation
            }
            Record::Removal(removal) => removal.subject == self.key,
            _ => false,
        }
    }

    /// Sends records as bulk, as far as the budget goes.
    pub(super) fn send_records(
        &mut self,
        to: SocketAddr,
        records: Vec<Record>,
        actions: &mut Vec<Action>,
    ) {
        let batches = batches(records, false).into_iter();
        let mut messages: Vec<Message> = batches.map(|batch| batch.message).collect();
        // Where the budget cuts the rest off, that is not the same rest each time.
        self.rng.shuffle(&mut messages);
        for message in messages {
            if !self.link.send_bulk(to, message, actions) {
                return;
            }
        }
    }
}

/// Records and the message that carries them.
struct Batch {
    keys: Vec<Key>,
    message: Message,
}

fn batches(records: Vec<Record>, hot: bool) -> Vec<Batch> {
    let offered = |record: &Record| match record {
        Record::Service(service) if fragment::is_large(service) => Some(fragment::offer(service)),
        _ => None,
    };
    let (large, small): (Vec<Record>, Vec<Record>) = records
        .into_iter()
        .partition(|record| offered(record).is_some());
    let mut batches: Vec<Batch> = pack(small.into_iter())
        .into_iter()
        .map(|records| Batch {
            keys: records.iter().map(Record::key).collect(),
            message: Message::Push(Push { hot, records }),
        })
        .collect();
    batches.extend(large.iter().filter_map(|record| {
        let message = Message::Offer(offered(record)?);
        let keys = vec![record.key()];
        Some(Batch { keys, message })
    }));
    batches
}
