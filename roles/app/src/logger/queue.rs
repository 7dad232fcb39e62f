//! Queue of log lines with a separate writer thread.
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

/// Capacity of the queue in lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 1_024;

/// Time for which lines are collected into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait of a flush, which is called before the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Queue of lines for a thread that writes them to the standard output.
#[derive(Clone, Debug)]
pub struct Queue {
    encoder: Arc<Box<dyn Encode>>,
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

impl Queue {
    /// Starts the writer thread.
    pub fn start(encoder: Box<dyn Encode>) -> Self {
        let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::spawn(move || write(&receiver, &counter));
        Self {
            encoder: Arc::new(encoder),
            sender,
            dropped,
        }
    }

    /// Waits until all queued lines are written, up to [`FLUSH_TIMEOUT`].
    pub fn flush(&self) {
        let (done, waiting) = mpsc::sync_channel(1);
        if self.sender.try_send(Message::Flush(done)).is_ok() {
            let _ = waiting.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &Record) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        if self.sender.try_send(Message::Line(line.0)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes queued lines in batches, and the number of dropped lines if there are
/// any, until all senders are gone.
fn write(receiver: &Receiver<Message>, dropped: &AtomicU64) {
    while let Ok(first) = receiver.recv() {
        if let Message::Line(_) = first {
            thread::sleep(BATCH_INTERVAL);
        }
        let mut text = Vec::new();
        let mut flushed = Vec::new();
        let waiting = std::iter::once(first).chain(receiver.try_iter());
        for message in waiting.take(MAX_QUEUED_LINES) {
            match message {
                Message::Line(line) => text.extend(line),
                Message::Flush(done) => flushed.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.extend(format!("{{\"level\":\"INFO\",\"event\":1008,\"text\":\"{lost} log lines were dropped because the log queue was full\"}}\n").into_bytes());
        }
        // A write error cannot be reported if the standard output is closed.
        let _ = io::stdout().write_all(&text);
        let _ = io::stdout().flush();
        for done in flushed {
            let _ = done.send(());
        }
    }
}
