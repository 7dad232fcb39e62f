//! The platform's metadata store.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::util::Json;
use crate::util::base64;
use crate::util::record;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    deleted: BTreeMap<String, u64>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A running store. Clones share its state.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self(Arc::default());
        let shared = store.clone();
        http::serve(TcpListener::bind(address)?, move |stream| {
            let _ = stream.set_nodelay(true);
            if let Some(request) = http::read_request(stream) {
                shared.answer(stream, &request);
            }
        });
        Ok(store)
    }

    /// Writes a key, as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.put(key, base64(value.as_bytes()), 0);
        record(format!("operator: wrote {key} at revision {}", state.revision));
        self.0.1.notify_all();
    }

    fn answer(&self, stream: &TcpStream, request: &Request) {
        let (status, body) = match request.path.as_str() {
            "/kv-watch" => self.watch(request),
            _ => {
                let mut state = self.0.0.lock().unwrap();
                state.expire();
                let answer = state.answer(request);
                self.0.1.notify_all();
                answer
            }
        };
        http::write_answer(stream, status, &body);
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or_default();
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.0.0.lock().unwrap();
        loop {
            let events = state.events(&prefix, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.deleted.remove(key);
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.deleted.insert(key.to_owned(), self.revision);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, (_, end))| *end < now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == id).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
        self.leases.remove(&id).is_some()
    }

    fn row(key: &str, item: &Item) -> String {
        format!(
            "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
            item.value, item.revision, item.created, item.lease
        )
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let written = self.items.iter().filter(|(key, item)| key.starts_with(prefix) && item.revision > after);
        let written = written.map(|(key, item)| format!("{{{}}}", Self::row(key, item)));
        let deleted = self.deleted.iter().filter(|(key, at)| key.starts_with(prefix) && **at > after);
        let deleted = deleted.map(|(key, at)| format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"));
        written.chain(deleted).collect()
    }

    fn answer(&mut self, request: &Request) -> (u16, String) {
        let id = || request.path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => {
                let key = request.parameter("key");
                match self.items.get(&key) {
                    Some(item) => {
                        let row = Self::row(&key, item);
                        (200, format!("{{{row},\"current_rev\":{}}}", self.revision))
                    }
                    None => (404, format!("{{\"current_rev\":{}}}", self.revision)),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
                let items = self.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let rows: Vec<String> = items.map(|(key, item)| format!("{{{}}}", Self::row(key, item))).collect();
                let rows = rows.join(",");
                (200, format!("{{\"items\":[{rows}],\"has_more\":false,\"current_rev\":{}}}", self.revision))
            }
            ("POST", "/kv-txn") => self.transact(&Json::parse(&request.body).unwrap_or(Json::Null)),
            ("POST", "/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = body.get("ttl_ms").number().clamp(1_000, 600_000);
                self.last_lease += 1;
                let (id, life) = (self.last_lease, Duration::from_millis(ttl));
                self.leases.insert(id, (life, Instant::now() + life));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => match self.leases.get_mut(&id()) {
                Some((life, end)) => {
                    *end = Instant::now() + *life;
                    (200, format!("{{\"ttl_ms\":{}}}", life.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => match self.end_lease(id()) {
                true => (200, "{}".to_owned()),
                false => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("expected_revision").list() {
            let held = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if held != row.get("revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let (key, lease) = (put.get("key").text(), put.get("lease").number());
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            if lease > 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            self.put(put.get("key").text(), put.get("value").text().to_owned(), put.get("lease").number());
        }
        for key in body.get("deletes").list() {
            self.delete(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}
