//! Actions that the agent requests from the surrounding process.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use wire::FlowKey;
use wire::Frame;
use wire::RequestId;
use wire::target::State;

use crate::Offer;
use crate::Outcome;
use crate::event::CallId;
use crate::event::JobId;
use crate::offer;
use crate::park;

/// An action that the surrounding process carries out for the agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a frame over UDP.
    Send {
        /// UDP address of the receiver.
        to: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// Runs a job at the backend server; answered by
    /// [`crate::Event::Finished`]. A job whose deadline passes before it is
    /// sent, for example while the process is paused, must not be sent: it has
    /// failed without having run.
    Run(Job),
    /// Cancels a job at the backend server. A later
    /// [`crate::Event::Finished`] for it is ignored.
    Abort {
        /// The job.
        job: JobId,
    },
    /// Forwards a request to another agent; answered by
    /// [`crate::Event::Passed`].
    /// Once the request may have reached the agent, it must not be sent again
    /// over another connection: a new incarnation of the agent does not know
    /// which requests its predecessor ran.
    Pass {
        /// Control address of the agent.
        to: SocketAddr,
        /// The request.
        offer: Offer,
    },
    /// Withdraws a request that was forwarded to another agent; not answered.
    Withdraw {
        /// Control address of the agent.
        to: SocketAddr,
        /// The offer.
        offer: offer::Id,
    },
    /// Answers a call of [`crate::Event::Offered`].
    AnswerOffer {
        /// The call.
        call: CallId,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Announces a new state and weight of the backend server.
    Announce {
        /// Readiness for new flows.
        state: State,
        /// Learned capacity, as in [`wire::Target::weight`].
        weight: u32,
    },
    /// Parks a part of this agent's state at a peer; answered by
    /// [`crate::Event::Parked`].
    Park {
        /// Control address of the peer.
        to: SocketAddr,
        /// The part.
        part: park::Part,
    },
    /// Answers a call of [`crate::Event::Park`].
    AnswerPark {
        /// The call.
        call: CallId,
        /// Whether the part was stored.
        accepted: bool,
    },
    /// Claims a part of the state that this agent's predecessor parked;
    /// answered by [`crate::Event::Claimed`].
    Claim {
        /// Control address of the peer.
        to: SocketAddr,
        /// The claimed part.
        claim: park::Claim,
    },
    /// Answers a call of [`crate::Event::Claim`].
    AnswerClaim {
        /// The call.
        call: CallId,
        /// The reply to the claim.
        grant: park::Grant,
    },
    /// Ends the process; the agent has left.
    Exit,
}

/// A request for the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Number of the job.
    pub id: JobId,
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request.
    pub request: RequestId,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time at which the caller gives up, on the same clock as the agent's
    /// `now`.
    pub deadline: Duration,
    /// Opaque payload for the backend server.
    pub payload: Bytes,
}
