//! The record of what was sent, answered and run.
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("record")),
        }
    }

    pub fn write(&self, text: &str) {
        let time = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{time:8.3} {text}");
    }
}
