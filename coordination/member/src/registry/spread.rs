//! Gossip: news is pushed to a few entries in each round.
use std::net::SocketAddr;
use std::time::Duration;

use super::Registry;
use crate::Action;
use crate::Message;
use crate::Record;
use crate::digest;
use crate::digest::half;
use crate::fragment;
use crate::fragment::Fragment;
use crate::message::Item;
use crate::message::Push;
use crate::message::pack;
use crate::record::Key;

/// Records of which the most urgent are chosen in one round.
const ROUND_RECORDS: usize = 200;

impl Registry {
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
        for key in keys.into_iter().take(ROUND_RECORDS) {
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
                for message in &batch.messages {
                    self.link.send(*peer, message.clone(), actions);
                }
            }
            for key in batch.keys {
                self.hot.count(key, peers.len());
            }
        }
    }

    /// Takes records that a peer sent.
    pub(super) fn push(&mut self, now: Duration, push: Push) {
        for record in push.records {
            self.learn(now, record, push.hot);
        }
    }

    /// Takes part of a large configuration, and offers it to others once it is
    /// complete.
    pub(super) fn fragment(&mut self, fragment: Fragment) {
        if let Some(service) = self.assembler.take(fragment) {
            self.publish(&Record::Service(service));
        }
    }

    fn learn(&mut self, now: Duration, record: Record, hot: bool) {
        let suspected = match &record {
            Record::Suspicion(suspicion) => Some(suspicion.subject),
            _ => None,
        };
        if let Record::Target(target) = &record {
            self.supersede(now, target.id, target.incarnation);
        }
        if !self.is_own(&record) {
            self.take_record(record, hot);
        }
        // A watcher that hears the process says so.
        if let Some(subject) = suspected {
            self.vouch(subject);
        }
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
            _ => false,
        }
    }

    fn take_record(&mut self, record: Record, hot: bool) {
        if hot {
            self.publish(&record);
        } else if let Err(reason) = self.directory.merge(record) {
            self.link.refuse(reason);
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
        let mut messages: Vec<Message> = batches.flat_map(|batch| batch.messages).collect();
        // Where the budget cuts the rest off, that is not the same rest each time.
        self.rng.shuffle(&mut messages);
        for message in messages {
            if !self.link.send_bulk(to, message, actions) {
                return;
            }
        }
    }
}

/// Records and the messages that carry them.
struct Batch {
    keys: Vec<Key>,
    messages: Vec<Message>,
}

fn batches(records: Vec<Record>, hot: bool) -> Vec<Batch> {
    let (large, small): (Vec<Record>, Vec<Record>) =
        records.into_iter().partition(|record| match record {
            Record::Service(service) => service.body.len() > fragment::MAX_INLINE_BYTES,
            _ => false,
        });
    let mut batches: Vec<Batch> = pack(small.into_iter())
        .into_iter()
        .map(|records| Batch {
            keys: records.iter().map(Record::key).collect(),
            messages: vec![Message::Push(Push { hot, records })],
        })
        .collect();
    for record in large {
        let key = record.key();
        let digest = half(digest::item(&record));
        let messages = match record {
            Record::Service(service) if !hot => {
                let parts = fragment::split(&service);
                parts.into_iter().map(Message::Fragment).collect()
            }
            _ => vec![Message::Offer(vec![Item { key, digest }])],
        };
        let keys = vec![key];
        batches.push(Batch { keys, messages });
    }
    batches
}
