//! Time, random numbers, JSON, and the record of a run.
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// Opens the record and starts the clock of the run.
pub fn begin(path: &str) -> std::io::Result<()> {
    START.get_or_init(Instant::now);
    let file = File::create(path)?;
    RECORD.get_or_init(|| Mutex::new(file));
    RANDOM.store(unix_micros() | 1, Ordering::Relaxed);
    Ok(())
}

/// Returns the time since the start of the run.
pub fn elapsed() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Writes a line with the time of the run to the record.
pub fn record(line: impl AsRef<str>) {
    if let Some(file) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {}", elapsed().as_secs_f64(), line.as_ref());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_millis() -> u64 {
    unix_micros() / 1_000
}

fn unix_micros() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as u64
}

/// Returns a random number (splitmix64).
pub fn random() -> u64 {
    let mut z = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A decoded JSON value; numbers as text.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(#[allow(dead_code)] bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        self.text().parse().unwrap_or_default()
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            let mut table = BTreeMap::new();
            *at += 1;
            loop {
                space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        space(bytes, at);
                        *at += 1;
                        table.insert(name, value(bytes, at)?);
                    }
                }
            }
            *at += 1;
            Some(Json::Table(table))
        }
        b'[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(list))
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            (*at > start).then(|| Json::Number(String::from_utf8_lossy(&bytes[start..*at]).into()))
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    let mut text = Vec::new();
    *at += 1;
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                text.push(match *bytes.get(*at)? {
                    b'n' => b'\n',
                    b't' => b'\t',
                    other => other,
                });
            }
            other => text.push(other),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(text).ok()
}
