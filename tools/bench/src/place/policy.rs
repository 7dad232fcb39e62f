//! The ways to place flows and requests that are compared.
use std::time::Duration;

use serde::Serialize;

/// A way to place flows and to run their requests.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Policy {
    /// How the holder of a flow is found.
    pub place: Place,
    /// How a busy holder passes single requests on.
    pub pass: Option<Forwarding>,
}

/// How the holder of a flow is found.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum Place {
    /// The first of the weighted order.
    Hash,
    /// The next target in turn, at each of three entries.
    RoundRobin,
    /// The less loaded of two random targets, by reports up to 1 s old.
    BestOfTwo,
    /// The targets bid; the first with a free slot takes it, else the best bid.
    Hunt {
        /// Targets that are visited.
        width: usize,
        /// What a target bids.
        signal: Signal,
    },
}

/// What a target bids for a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Signal {
    /// A free slot, or the expected wait.
    Slots,
    /// Held flows over capacity.
    Held,
    /// Load of the held flows over capacity.
    Load,
    /// The expected wait and the load of the held flows, as agents do for bound
    /// flows.
    Blend,
}

/// How a busy holder passes single requests on.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Forwarding {
    /// Other targets that are asked.
    pub width: usize,
    /// Expected wait above which a request is passed on.
    pub threshold: Duration,
    /// Which other targets are asked.
    pub key: Key,
}

/// Which other targets a holder asks.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum Key {
    /// The same ones for all requests of a flow.
    Flow,
    /// Others for each request.
    Request,
}

impl Policy {
    /// Requests run where their flow is held.
    pub const fn bound(place: Place) -> Self {
        Self { place, pass: None }
    }

    /// A short name for tables.
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
