//! Events that the agent processes.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use wire::Frame;

use crate::Offer;
use crate::Outcome;
use crate::View;
use crate::offer;
use crate::park;

/// Number of a job at the backend server.
pub type JobId = u64;

/// Number of a call from another agent that is waiting for its reply.
pub type CallId = u64;

/// An event that the surrounding process reports to the agent.
#[derive(Clone, Debug)]
pub enum Event {
    /// An authenticated frame arrived.
    Frame {
        /// UDP address of the sender.
        from: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// The backend server has finished a job of [`crate::Action::Run`].
    Finished {
        /// The job.
        job: JobId,
        /// The result of the job.
        result: Completion,
    },
    /// Another agent forwards a request to this one.
    Offered {
        /// The call to answer by [`crate::Action::AnswerOffer`].
        call: CallId,
        /// The request.
        offer: Offer,
    },
    /// Another agent withdraws a request that it forwarded to this one.
    Withdrawn {
        /// The offer.
        offer: offer::Id,
    },
    /// The reply to a [`crate::Action::Pass`].
    Passed {
        /// The offer.
        offer: offer::Id,
        /// Outcome of the request; [`Outcome::Unknown`] if the call was sent
        /// and no reply arrived.
        outcome: Outcome,
    },
    /// The targets or the settings of the service changed.
    View(View),
    /// Another agent parks a part of its state here.
    Park {
        /// The call to answer by [`crate::Action::AnswerPark`].
        call: CallId,
        /// The part.
        part: park::Part,
    },
    /// The reply to a [`crate::Action::Park`].
    Parked {
        /// Index of the part.
        index: u32,
        /// Whether the peer stored it.
        accepted: bool,
    },
    /// The successor of an agent that parked its state here claims a part.
    Claim {
        /// The call to answer by [`crate::Action::AnswerClaim`].
        call: CallId,
        /// The claimed part.
        claim: park::Claim,
    },
    /// The reply to a [`crate::Action::Claim`].
    Claimed {
        /// Control address of the peer that was asked.
        peer: SocketAddr,
        /// The peer's reply.
        grant: park::Grant,
    },
    /// Time has passed; due at [`crate::Agent::next_deadline`] at the latest.
    Tick,
    /// Stop accepting new flows and keep serving those that are held.
    Drain,
    /// Accept new flows again after an [`Event::Drain`].
    Resume,
    /// The backend server leaves for good: finish pending requests within
    /// [`crate::settings::Leave::grace_period`], then exit.
    Stop,
    /// The agent is replaced while its backend server stays: finish pending
    /// requests within [`crate::settings::Leave::grace_period`], park the flows
    /// at a peer, then exit.
    Replace,
}

/// Result of a job at the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The job ran; this is the answer.
    Completed(Bytes),
    /// The backend server refused the job without running it.
    Shed {
        /// Retry delay that the backend server asked for.
        retry_after: Duration,
    },
    /// The backend server failed.
    Failed {
        /// False only if the job certainly did not run.
        may_have_run: bool,
    },
    /// The job ran, and its answer exceeds the size limit.
    TooLarge,
}
