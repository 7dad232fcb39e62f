//! Services of a deployment.
use std::ops::RangeInclusive;

/// Service of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Independent service with four backend servers of unequal speed.
    Roster,
    /// Bound service with two backend servers.
    Rota,
}

impl Service {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Roster => "roster",
            Self::Rota => "rota",
        }
    }

    pub(crate) const fn binding(self) -> &'static str {
        match self {
            Self::Roster => "independent",
            Self::Rota => "bound",
        }
    }

    pub(crate) const fn address_octet(self) -> u8 {
        match self {
            Self::Roster => 1,
            Self::Rota => 2,
        }
    }

    /// Returns the numbers of its backend servers.
    pub(crate) const fn targets(self) -> RangeInclusive<u8> {
        match self {
            Self::Roster => 1..=4,
            Self::Rota => 5..=6,
        }
    }
}
