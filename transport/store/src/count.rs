//! Counts of the calls that a client made.
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;

/// Calls of the store since the client was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Single reads and lists.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches begun; each counts as one call.
    pub watches: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls that failed, conflicts left out.
    pub failures: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Bytes of answers, headers left out.
    pub received_bytes: u64,
}

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A read of one key or several.
    Read,
    /// A write on condition.
    Write,
    /// A read that waits for a change.
    Watch,
    /// A call about a lease.
    Lease,
}

#[derive(Debug, Default)]
pub(crate) struct Counter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    leases: AtomicU64,
    failures: AtomicU64,
    waiting: AtomicU64,
    received_bytes: AtomicU64,
}

/// Counts a waiting watch until dropped.
pub(crate) struct Waiting<'a>(&'a Counter);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Relaxed);
    }
}

impl Counter {
    pub(crate) fn call(&self, kind: Kind) {
        let counter = match kind {
            Kind::Read => &self.reads,
            Kind::Write => &self.writes,
            Kind::Watch => &self.watches,
            Kind::Lease => &self.leases,
        };
        counter.fetch_add(1, Relaxed);
    }

    pub(crate) fn fail(&self) {
        self.failures.fetch_add(1, Relaxed);
    }

    pub(crate) fn receive(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(crate) fn wait(&self) -> Waiting<'_> {
        self.waiting.fetch_add(1, Relaxed);
        Waiting(self)
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
        }
    }
}
