//! Counts of a client's calls.
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

/// Counts of calls since the client was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads of a key or of a prefix.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches started.
    pub watches: u64,
    /// Calls that grant, renew or revoke a lease, or acquire a key under one.
    pub leases: u64,
    /// Failed calls, except conflicts.
    pub failures: u64,
    /// Watches currently waiting.
    pub waiting: u64,
    /// Bytes of answers received, without headers.
    pub received_bytes: u64,
    /// Bytes of paths and bodies of calls sent, without headers.
    pub sent_bytes: u64,
    /// Restores of the store from an older copy.
    pub restores: u64,
}

/// Kind of a call, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Read of a key or of a prefix.
    Read,
    /// Conditional write.
    Write,
    /// Read that waits for a change.
    Watch,
    /// Grant, renewal or revocation of a lease, or acquisition of a key.
    Lease,
}

/// Counts shared by the clones of a client.
#[derive(Debug, Default)]
pub(crate) struct Counter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    leases: AtomicU64,
    failures: AtomicU64,
    waiting: AtomicU64,
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
    restores: AtomicU64,
}

/// Counts a waiting watch until dropped.
pub(crate) struct WaitGuard<'a>(&'a Counter);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Relaxed);
    }
}

impl Counter {
    pub(crate) fn record_call(&self, kind: Kind) {
        let counter = match kind {
            Kind::Read => &self.reads,
            Kind::Write => &self.writes,
            Kind::Watch => &self.watches,
            Kind::Lease => &self.leases,
        };
        counter.fetch_add(1, Relaxed);
    }

    pub(crate) fn record_failure(&self) {
        self.failures.fetch_add(1, Relaxed);
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn record_restore(&self) {
        self.restores.fetch_add(1, Relaxed);
    }

    pub(crate) fn begin_wait(&self) -> WaitGuard<'_> {
        self.waiting.fetch_add(1, Relaxed);
        WaitGuard(self)
    }

    pub(crate) fn snapshot(&self) -> Counts {
        Counts {
            reads: self.reads.load(Relaxed),
            writes: self.writes.load(Relaxed),
            watches: self.watches.load(Relaxed),
            leases: self.leases.load(Relaxed),
            failures: self.failures.load(Relaxed),
            waiting: self.waiting.load(Relaxed),
            received_bytes: self.received_bytes.load(Relaxed),
            sent_bytes: self.sent_bytes.load(Relaxed),
            restores: self.restores.load(Relaxed),
        }
    }
}
