//! Classes of packets, and their counters.
use std::time::Duration;

/// Class of a packet; the first variant is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Membership messages, reports on flows and resets.
    Control,
    /// Packets that open a flow, and their confirmations.
    Opening,
    /// Content of the most urgent requests.
    Urgent,
    /// Content of other requests.
    Data,
    /// Content of flows that carry much.
    Bulk,
}

/// Counters of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Packets sent.
    pub sent: u64,
    /// Packets that had to wait.
    pub queued: u64,
    /// Copies that took the place of a packet that still waited.
    pub copies: u64,
    /// Packets dropped because the queue was full.
    pub full: u64,
    /// Packets dropped because they had waited too long.
    pub late: u64,
}

impl Class {
    /// Number of classes.
    pub const COUNT: usize = 5;

    /// All classes, the most important one first.
    pub const ALL: [Self; Self::COUNT] = [
        Self::Control,
        Self::Opening,
        Self::Urgent,
        Self::Data,
        Self::Bulk,
    ];

    /// Returns the position in [`Self::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the name in counters.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Opening => "opening",
            Self::Urgent => "urgent",
            Self::Data => "data",
            Self::Bulk => "bulk",
        }
    }

    /// Returns the time after which a waiting packet is dropped. Callers send opening
    /// packets again 200 ms and 600 ms after the first, and data 200 ms after it was
    /// sent, then at doubled intervals. A copy replaces the waiting packet, so content
    /// may wait beyond the first copy, but not until the second one.
    #[must_use]
    pub const fn max_wait(self) -> Duration {
        Duration::from_millis(match self {
            Self::Control => 1_000,
            Self::Opening => 250,
            Self::Urgent | Self::Data => 400,
            Self::Bulk => 550,
        })
    }
}
