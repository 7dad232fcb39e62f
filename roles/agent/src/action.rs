//! What the agent asks the process around it to do.
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

/// Something to do for the agent.
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
    /// [`crate::Event::Finished`]. A job whose deadline has passed before it
    /// is sent, as after a pause of the process, must not be sent any more: it
    /// has failed without having run.
    Run(Job),
    /// Cancels a job at the backend server. A later
    /// [`crate::Event::Finished`] for it is ignored.
    Abort {
        /// The job.
        job: JobId,
    },
    /// Passes a request to another agent; answered by
    /// [`crate::Event::Passed`]. It must not be sent again, on another
    /// connection, once it may have reached the agent: a new incarnation does
    /// not know what the old one ran.
    Pass {
        /// Control address of the agent.
        to: SocketAddr,
        /// The request.
        offer: Offer,
    },
    /// Withdraws a request that was passed; no answer is awaited.
    Withdraw {
        /// Control address of the agent.
        to: SocketAddr,
        /// The offer.
        offer: offer::Id,
    },
    /// Answers a call of [`crate::Event::Offered`].
    Resolve {
        /// The call.
        call: CallId,
        /// What became of the request.
        outcome: Outcome,
    },
    /// Changes what is announced of the backend server.
    Announce {
        /// Whether it takes new flows.
        state: State,
        /// Learned capacity, as in [`wire::Target::weight`].
        weight: u32,
    },
    /// Stores a part of this agent's state at a peer; answered by
    /// [`crate::Event::Parked`].
    Park {
        /// Control address of the peer.
        to: SocketAddr,
        /// The part.
        part: park::Part,
    },
    /// Answers a call of [`crate::Event::Park`].
    Parked {
        /// The call.
        call: CallId,
        /// Whether the part is stored.
        accepted: bool,
    },
    /// Asks a peer for what this agent's predecessor parked; answered by
    /// [`crate::Event::Claimed`].
    Claim {
        /// Control address of the peer.
        to: SocketAddr,
        /// What is asked for.
        claim: park::Claim,
    },
    /// Answers a call of [`crate::Event::Claim`].
    Claimed {
        /// The call.
        call: CallId,
        /// What is given.
        grant: park::Grant,
    },
    /// Ends the process; nothing is left to do.
    Exit,
}

/// A request for the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Numbers the job.
    pub id: JobId,
    /// The flow that the request belongs to.
    pub flow: FlowKey,
    /// The request.
    pub request: RequestId,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Time after which nobody waits for the answer; of the same origin as the
    /// agent's `now`.
    pub deadline: Duration,
    /// Passed to the backend server untouched.
    pub payload: Bytes,
}
