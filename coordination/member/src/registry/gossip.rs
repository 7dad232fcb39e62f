//! Gossip: new records are pushed to a few entries at a time.
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

/// Largest number of records considered at a time, the most urgent first.
const MAX_RECORDS: usize = 200;

impl Registry {
    /// Pushes new records when the next push is due.
    pub(super) fn gossip_if_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.next_push.is_none_or(|next| now < next) {
            return;
        }
        self.link.refill(now);
        self.gossip(actions);
        self.last_push = now;
        self.next_push = match self.rumors.len() {
            0 => None,
            _ => Some(now + self.settings.push_interval),
        };
    }

    /// Pushes new records to a few entries, within the budget.
    pub(super) fn gossip(&mut self, actions: &mut Vec<Action>) {
        let keys = self.rumors.keys_by_urgency();
        if keys.is_empty() {
            return;
        }
        let peers = self
            .live_set
            .peers
            .choose(self.settings.fanout, &mut self.rng);
        if peers.is_empty() {
            return;
        }
        let mut records = Vec::new();
        for key in keys.into_iter().take(MAX_RECORDS) {
            match self.directory.record(key) {
                Some(record) => records.push(record),
                None => self.rumors.remove(key),
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
                self.rumors.count_sends(key, peers.len());
            }
        }
    }

    /// Merges the records that a peer pushed, and sends it the removals of
    /// those that have a tombstone here.
    pub(super) fn receive_push(
        &mut self,
        now: Duration,
        from: SocketAddr,
        push: Push,
        actions: &mut Vec<Action>,
    ) {
        let mut removals = Vec::new();
        for record in push.records {
            let key = record.key();
            if self.merge_received(now, &record, push.is_rumor) == Err(Refusal::Departed) {
                removals.extend(self.directory.record(key));
            }
        }
        if !removals.is_empty() {
            self.send_records(from, removals, actions);
        }
    }

    /// Fetches a large configuration that is newer than the held one.
    pub(super) fn receive_offer(
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
        if let Some(request) = self.assembler.start(now, from, offer) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    /// Sends the fragments that a process lacks, within the budget.
    pub(super) fn send_fragments(
        &mut self,
        from: SocketAddr,
        fetch: &Fetch,
        actions: &mut Vec<Action>,
    ) {
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

    /// Requests overdue fragments again.
    pub(super) fn fetch_overdue(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for request in self.assembler.retry_overdue(now) {
            self.link
                .send(request.to, Message::Fetch(request.fetch), actions);
        }
    }

    /// Adds a fragment of a large configuration, and gossips the configuration
    /// once it is complete.
    pub(super) fn receive_fragment(&mut self, now: Duration, fragment: Fragment) {
        if let Some(service) = self.assembler.add_fragment(now, fragment) {
            self.publish(&Record::Service(service));
        }
    }

    fn merge_received(
        &mut self,
        now: Duration,
        record: &Record,
        is_rumor: bool,
    ) -> Result<(), Refusal> {
        if self.is_own(record) {
            return Ok(());
        }
        let suspected = match record {
            Record::Statement(statement) => Some(statement.subject),
            _ => None,
        };
        if let Record::Target(target) = record {
            self.update_incarnation(now, target.id, target.incarnation);
        }
        let result = self.directory.merge(record.clone());
        match result {
            Ok(()) if is_rumor => self.start_gossip(record),
            Ok(()) => {}
            Err(reason) => self.link.refuse(reason),
        }
        // A watcher that hears the process states so.
        if let Some(subject) = suspected {
            self.state_heard(subject);
        }
        result
    }

    /// Moves the watch on a process to its newer incarnation.
    fn update_incarnation(&mut self, now: Duration, id: Key, incarnation: u64) {
        let Some(watch) = self.watches.get(id) else {
            return;
        };
        if watch.incarnation < incarnation {
            let mut watch = watch.clone();
            watch.incarnation = incarnation;
            watch.sequence = 0;
            watch.last_heard = now;
            self.watches.insert(id, watch);
        }
    }

    /// Returns whether this entry is the only author of a record.
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

    /// Sends records as bulk messages, within the budget.
    pub(super) fn send_records(
        &mut self,
        to: SocketAddr,
        records: Vec<Record>,
        actions: &mut Vec<Action>,
    ) {
        let batches = batches(records, false).into_iter();
        let mut messages: Vec<Message> = batches.map(|batch| batch.message).collect();
        // A random order keeps the budget from cutting off the same messages
        // each time.
        self.rng.shuffle(&mut messages);
        for message in messages {
            if !self.link.send_bulk(to, message, actions) {
                return;
            }
        }
    }
}

/// Message, and the keys of the records that it carries.
struct Batch {
    keys: Vec<Key>,
    message: Message,
}

fn batches(records: Vec<Record>, is_rumor: bool) -> Vec<Batch> {
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
            message: Message::Push(Push { is_rumor, records }),
        })
        .collect();
    batches.extend(large.iter().filter_map(|record| {
        let message = Message::Offer(offered(record)?);
        let keys = vec![record.key()];
        Some(Batch { keys, message })
    }));
    batches
}
