//! Writes log lines on a thread of their own.
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;

/// Lines that wait to be written; what comes beyond is dropped and counted.
const MAX_WAITING: usize = 1_024;

/// Time for which lines are gathered into one write.
const GATHER: Duration = Duration::from_millis(100);

/// Longest wait for the lines at the end of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Queues lines for a thread that writes them to the standard output.
#[derive(Clone, Debug)]
pub struct Queue {
    encoder: Arc<Box<dyn Encode>>,
    sender: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

impl Queue {
    /// Starts the thread that writes.
    pub fn start(encoder: Box<dyn Encode>) -> Self {
        let (sender, receiver) = mpsc::sync_channel(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::spawn(move || write(&receiver, &counter));
        Self {
            encoder: Arc::new(encoder),
            sender,
            dropped,
        }
    }

    /// Waits until the lines so far are written, for a short time at most.
    pub fn flush(&self) {
        let (done, waiting) = mpsc::sync_channel(1);
        if self.sender.try_send(Item::Flush(done)).is_ok() {
            let _ = waiting.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        if self.sender.try_send(Item::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write(receiver: &Receiver<Item>, dropped: &AtomicU64) {
    while let Ok(first) = receiver.recv() {
        if let Item::Line(_) = first {
            thread::sleep(GATHER);
        }
        let mut text = Vec::new();
        let mut flushed = Vec::new();
        let waiting = std::iter::once(first).chain(receiver.try_iter());
        for item in waiting.take(MAX_WAITING) {
            match item {
                Item::Line(line) => text.extend(line),
                Item::Flush(done) => flushed.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.extend(format!("{{\"level\":\"INFO\",\"event\":1008,\"text\":\"{lost} log lines were dropped, the queue was full\"}}\n").into_bytes());
        }
        // Nobody can be told where the standard output is gone.
        let _ = io::stdout().write_all(&text);
        let _ = io::stdout().flush();
        for done in flushed {
            let _ = done.send(());
        }
    }
}
