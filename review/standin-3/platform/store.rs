//! The platform's metadata store, in memory.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json;
use crate::json::quote;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision: the key, and the item unless it was deleted.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (u64, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(address: SocketAddr, revision: u64) -> std::io::Result<Self> {
        let state = State {
            revision,
            next_lease: 1,
            ..State::default()
        };
        let store = Self(Arc::new((Mutex::new(state), Condvar::new())));
        let shared = store.clone();
        http::serve(address, move |request| Some(shared.answer(request)))?;
        Ok(store)
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.put(key, json::base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    /// Deletes a key as the operator does.
    pub fn delete(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.delete(key);
        self.0.1.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        state.expire();
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/kv-key") => match state.items.get(request.param("key")) {
                Some(item) => (200, row(request.param("key"), item)),
                None => (404, "{}".to_owned()),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (request.param("prefix"), request.param("after"));
                let items = state.items.iter().filter(|(key, _)| {
                    key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
                });
                let mut rows: Vec<String> = items.map(|(key, item)| row(key, item)).collect();
                let has_more = rows.len() > 500;
                rows.truncate(500);
                let rows = rows.join(",");
                let revision = state.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{rows}],\"has_more\":{has_more},\"current_rev\":{revision}}}"
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let after: u64 = request.param("after").parse().unwrap_or(0);
                let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    let events = state.events_after(request.param("prefix"), after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        return (
                            200,
                            format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                        );
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let answer = state.transact(&request.body);
                changed.notify_all();
                answer
            }
            ("POST", "/kv-lease") => {
                let ttl = json::parse(&request.body).get("ttl_ms").number().max(1_000);
                let lease = state.next_lease;
                state.next_lease += 1;
                let end = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl, end));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id: u64 = path[9..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id: u64 = path[14..].parse().unwrap_or(0);
                let is_known = state.end_lease(id);
                changed.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let is_known = self.leases.remove(&id).is_some();
        let held = self
            .items
            .iter()
            .filter(|(_, item)| is_known && item.lease == id);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            self.delete(&key);
        }
        is_known
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<String> {
        let events = self.events.iter();
        let events =
            events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let text = events.map(|(revision, key, item)| match item {
            Some(item) => row(key, item),
            None => format!(
                "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                quote(key)
            ),
        });
        text.collect()
    }

    fn transact(&mut self, body: &str) -> (u16, String) {
        let body = json::parse(body);
        let expected = body.get("expected_revision").list();
        let is_met = expected.iter().all(|row| {
            let held = self.items.get(row.get("key").text());
            held.map_or(0, |item| item.revision) == row.get("revision").number()
        });
        if !is_met {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = body.get("puts").list();
        let keys = puts.iter().chain(body.get("deletes").list());
        let is_forbidden = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let mut keys = keys.map(|row| {
            if row.text().is_empty() {
                row.get("key").text()
            } else {
                row.text()
            }
        });
        if keys.any(is_forbidden) {
            return (403, "{}".to_owned());
        }
        let is_leased = |id: u64| id == 0 || self.leases.contains_key(&id);
        if !puts.iter().all(|row| is_leased(row.get("lease").number())) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            let value = row.get("value").text().to_owned();
            self.put(row.get("key").text(), value, row.get("lease").number());
        }
        for key in body.get("deletes").list() {
            self.delete(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}
