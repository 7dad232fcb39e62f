//! Policies that place flows and their requests.
use std::time::Duration;

use serde::Serialize;

/// Policy that chooses the holder of a flow and the agents that run its
/// requests.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Policy {
    /// Choice of the holder of a flow.
    pub place: Place,
    /// Forwarding of single requests by a busy holder; `None` if the holder runs
    /// all requests of its flows.
    pub pass: Option<Forwarding>,
}

/// Choice of the holder of a flow.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum Place {
    /// The first target of the weighted rendezvous order.
    Hash,
    /// Round robin, separately at each of three entries.
    RoundRobin,
    /// The less loaded of two random targets, by load reports up to 1 s old.
    BestOfTwo,
    /// The first targets of the weighted order are asked one after another. One
    /// with a free slot and little load accepts at once; if none does, the one
    /// with the lowest bid gets the flow.
    Hunt {
        /// Number of targets that are asked.
        width: usize,
        /// Basis of the bids.
        signal: Signal,
    },
}

/// Basis of a target's bid for a flow; the lowest bid wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Signal {
    /// Expected wait for a slot; zero when one is free.
    Slots,
    /// Number of held flows divided by the capacity.
    Held,
    /// Load of the held flows divided by the capacity.
    Load,
    /// Expected wait plus load of the held flows, as agents bid for bound flows.
    Blend,
}

/// Forwarding of single requests by a busy holder to other agents.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Forwarding {
    /// Number of other targets that are asked.
    pub width: usize,
    /// Expected wait at the holder above which it forwards a request.
    pub threshold: Duration,
    /// Choice of the other targets.
    pub key: Key,
}

/// Choice of the other targets that a holder asks, by the hash key of their
/// order.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum Key {
    /// The same targets for all requests of a flow.
    Flow,
    /// Different targets for each request.
    Request,
}

impl Policy {
    /// Creates a policy under which the holder runs all requests of its flows.
    pub const fn bound(place: Place) -> Self {
        Self { place, pass: None }
    }

    /// Returns a short name for tables and plots.
    pub fn name(&self) -> String {
        let place = match self.place {
            Place::Hash => "hash".into(),
            Place::RoundRobin => "round robin".into(),
            Place::BestOfTwo => "best of two".into(),
            Place::Hunt { width, signal } => {
                format!("hunt {width} {}", format!("{signal:?}").to_lowercase())
            }
        };
        match self.pass {
            None => place,
            Some(pass) => format!(
                "{place}, pass {} over {} ms by {}",
                pass.width,
                pass.threshold.as_millis(),
                format!("{:?}", pass.key).to_lowercase(),
            ),
        }
    }
}
