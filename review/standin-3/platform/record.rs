//! The record of a run, and small helpers.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Lines with the seconds since the start of the run.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new((
            Mutex::new(File::create(path)?),
            Instant::now(),
        ))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.0.lock().unwrap(), "{at:8.3} {text}");
    }
}

pub fn unix_millis() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    time.as_millis() as u64
}

/// Returns a random number.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let seed = unix_millis() ^ u64::from(std::process::id()) << 32;
    let _ = STATE.compare_exchange(0, seed | 1, Ordering::SeqCst, Ordering::SeqCst);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}
