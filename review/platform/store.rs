//! Stand-in of the platform's metadata store.
use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::json;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision: the key, and the event as JSON.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                items: BTreeMap::new(),
                history: Vec::new(),
                leases: BTreeMap::new(),
                next_lease: 1,
            }),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            shared.end_leases();
        });
        Ok(store)
    }

    /// Writes the operator's configuration; the return is the acknowledgement.
    pub fn write_config(&self, document: &str) {
        let mut state = self.state.lock().unwrap();
        state.put("op/config", base64(document.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
        }
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        loop {
            let Some((method, target, body, close)) = read_request(&mut reader) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            let (status, text) = self.answer(&method, &target, &body);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\nStore-Era: 1\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() || close {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map_or(String::new(), |(_, value)| unescape(value))
        };
        let id = path.rsplit('/').next().unwrap_or("").parse().unwrap_or(0);
        match (method, path) {
            ("GET", "/kv-watch") => self.watch(
                &parameter("prefix"),
                parameter("after").parse().unwrap_or(0),
                parameter("wait_ms").parse().unwrap_or(0),
            ),
            ("GET", "/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let row = item.row(&key);
                        let rev = state.revision;
                        (200, format!("{{{row},\"current_rev\":{rev}}}"))
                    }
                    None => (404, format!("{{\"current_rev\":{}}}", state.revision)),
                }
            }
            ("GET", "/kv-range") => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let rows: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| format!("{{{}}}", item.row(key)))
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
                    rows.join(","),
                    state.revision
                );
                (200, text)
            }
            ("POST", "/kv-txn") => self.transaction(&json::parse(body)),
            ("POST", "/kv-lease") => {
                let ttl = json::parse(body).get("ttl_ms").number().max(1_000);
                let mut state = self.state.lock().unwrap();
                let lease = state.next_lease;
                state.next_lease += 1;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some((time, until)) => {
                        *until = Instant::now() + *time;
                        (200, format!("{{\"ttl_ms\":{}}}", time.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let text = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transaction(&self, body: &json::Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let rows = body.get("expected_revision").list();
        let is_current = rows.iter().all(|row| {
            let revision = state
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            revision == row.get("revision").number()
        });
        if !is_current {
            return (412, "{\"items\":[]}".to_owned());
        }
        for put in body.get("puts").list() {
            let (key, lease) = (put.get("key").text(), put.get("lease").number());
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            if lease > 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.get("puts").list() {
            let value = put.get("value").text().to_owned();
            state.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        let revision = state.revision;
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl Item {
    fn row(&self, key: &str) -> String {
        format!(
            "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
            self.value, self.revision, self.created, self.lease
        )
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
        let event = format!("{{{}}}", item.row(key));
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned(), event));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.history.push((revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

/// Reads a request: method, target, body, and whether the connection closes then.
pub fn read_request(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, String, Vec<u8>, bool)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut length, mut close) = (0, false);
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|read| *read > 0)?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        close |= header == "connection: close";
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, target, body, close))
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let raw = text.as_bytes();
    let mut at = 0;
    while at < raw.len() {
        let code = raw
            .get(at + 1..at + 3)
            .filter(|_| raw[at] == b'%')
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        bytes.push(code.unwrap_or(raw[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for digit in 0..4 {
            if digit <= part.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
