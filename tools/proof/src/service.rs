//! The services of a deployment.
use std::ops::RangeInclusive;

/// A service of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Four backend servers of unequal speed; independent.
    Roster,
    /// Two backend servers; bound.
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

    pub(crate) const fn host(self) -> u8 {
        match self {
            Self::Roster => 1,
            Self::Rota => 2,
        }
    }

    /// Numbers of its backend servers.
    pub(crate) const fn targets(self) -> RangeInclusive<u8> {
        match self {
            Self::Roster => 1..=4,
            Self::Rota => 5..=6,
        }
    }
}
