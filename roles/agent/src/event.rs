//! What the agent is told.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use wire::Frame;

use crate::Offer;
use crate::Outcome;
use crate::View;
use crate::offer;
use crate::park;

/// Numbers a job that was handed to the backend server.
pub type JobId = u64;

/// Numbers a call from another agent that waits for its result.
pub type CallId = u64;

/// Something that happened, as the process around the agent saw it.
#[derive(Clone, Debug)]
pub enum Event {
    /// An authenticated frame arrived.
    Frame {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// The backend server is done with a job of [`crate::Action::Run`].
    Finished {
        /// The job.
        job: JobId,
        /// What became of it.
        result: Completion,
    },
    /// Another agent passes a single request to this one.
    Offered {
        /// The call to answer by [`crate::Action::Resolve`].
        call: CallId,
        /// The request.
        offer: Offer,
    },
    /// Another agent withdraws a request that it passed to this one.
    Withdrawn {
        /// The offer.
        offer: offer::Id,
    },
    /// The result of a [`crate::Action::Pass`].
    Passed {
        /// The offer.
        offer: offer::Id,
        /// What became of it; [`Outcome::Unknown`] where the call was sent and
        /// its result was lost.
        outcome: Outcome,
    },
    /// The targets or the settings of the service changed.
    View(View),
    /// Another agent parks a part of its state here.
    Park {
        /// The call to answer by [`crate::Action::Parked`].
        call: CallId,
        /// The part.
        part: park::Part,
    },
    /// The result of a [`crate::Action::Park`].
    Parked {
        /// Index of the part.
        index: u32,
        /// Whether the peer has stored it.
        accepted: bool,
    },
    /// The successor of an agent that parked its state here asks for a part.
    Claim {
        /// The call to answer by [`crate::Action::Claimed`].
        call: CallId,
        /// What is asked for.
        claim: park::Claim,
    },
    /// The result of a [`crate::Action::Claim`].
    Claimed {
        /// Control address of the peer that was asked.
        peer: SocketAddr,
        /// What the peer gave.
        grant: park::Grant,
    },
    /// Time has passed; due when [`crate::Agent::next_deadline`] is reached.
    Tick,
    /// Take no new flows and finish those that are held.
    Drain,
    /// Take new flows again, after a [`Event::Drain`].
    Resume,
    /// The backend server leaves for good: finish within a bound, then exit.
    Stop,
    /// The agent is replaced beside a backend server that stays: finish what
    /// runs within a bound, park the flows at a peer, then exit.
    Replace,
}

/// What became of a job at the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It ran; this is the answer.
    Completed(Bytes),
    /// The backend server refused it, and did not run it.
    Shed {
        /// Time after which the backend server wants to be asked again.
        retry_after: Duration,
    },
    /// The backend server failed.
    Failed {
        /// False where it is certain that the job did not run.
        ran: bool,
    },
    /// It ran, and the answer is larger than the limit.
    TooLarge,
}
