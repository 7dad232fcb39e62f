//! Planned stop and replacement: running requests finish, the flows are handed
//! over, and the process exits.
use std::net::SocketAddr;
use std::time::Duration;

use wire::caller::Reason;
use wire::target::State;

use crate::Action;
use crate::Agent;
use crate::agent::Outbox;
use crate::event::JobId;
use crate::park::Part;
use crate::park::Purpose;
use crate::task::End;
use crate::task::Stage;
use crate::view::Binding;

/// Time between two attempts to send the last part or to find a peer.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// Ratio of the number of peers that a successor asks to the number that its
/// predecessor may try, [`crate::settings::Leave::max_peers`].
const CLAIM_PEER_FACTOR: usize = 2;

/// Phase of an agent that is leaving.
#[derive(Debug)]
pub(crate) enum Leaving {
    /// Pending requests may finish until the deadline.
    Finishing { deadline: Duration, next: NextPhase },
    /// The state is being sent to a peer and is frozen here.
    HandingOver(Handover),
    /// The agent has left; the process can exit.
    Exited,
}

/// The phase that follows once pending requests have finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextPhase {
    /// Hand the flows over to a peer.
    Handover(Purpose),
    /// Exit; the flows end with the backend server.
    Exit,
}

/// Transfer of the agent's state to a peer.
///
/// The first part has no flows and only asks whether the peer accepts the
/// state. Once the last part has been sent, the peer may hold the whole state,
/// so no other peer is tried: two agents must never hold the same flows.
#[derive(Debug)]
pub(crate) struct Handover {
    parts: Vec<Part>,
    index: usize,
    peers: Vec<SocketAddr>,
    deadline: Duration,
    resend_at: Option<Duration>,
}

impl Leaving {
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        match self {
            Self::Finishing { deadline, .. } => Some(*deadline),
            Self::HandingOver(handover) => {
                let resend = handover.resend_at.unwrap_or(handover.deadline);
                Some(resend.min(handover.deadline))
            }
            Self::Exited => None,
        }
    }
}

impl Agent {
    pub(crate) fn on_stop(&mut self, outbox: &mut Outbox<'_>) {
        let next = match self.view.service.binding {
            Binding::Bound => NextPhase::Exit,
            Binding::Independent => NextPhase::Handover(Purpose::Adopt),
        };
        self.start_leaving(outbox, next);
    }

    pub(crate) fn on_replace(&mut self, outbox: &mut Outbox<'_>) {
        self.start_leaving(outbox, NextPhase::Handover(Purpose::Park));
    }

    fn start_leaving(&mut self, outbox: &mut Outbox<'_>, next: NextPhase) {
        if self.leaving.is_none() {
            let deadline = outbox.now + self.settings.leave.grace_period;
            self.leaving = Some(Leaving::Finishing { deadline, next });
            self.claiming = None;
        }
    }

    /// Returns true if the flows are being or have been handed over, so that no
    /// request may be recorded here any more.
    pub(crate) fn is_handing_over(&self) -> bool {
        matches!(
            self.leaving,
            Some(Leaving::HandingOver(_) | Leaving::Exited)
        )
    }

    /// Refuses a request that arrived while the agent is leaving. Its record is
    /// handed over with the flow, so the request will not run later.
    pub(crate) fn refuse_leaving(&mut self, outbox: &mut Outbox<'_>, job: JobId) {
        let reason = match self.leaving {
            Some(Leaving::Finishing {
                next: NextPhase::Exit,
                ..
            }) => Reason::Draining,
            _ => Reason::HolderAway,
        };
        let refusal = self.refusal(reason, self.settings.leave.retry_after);
        self.conclude(outbox, job, End::NotRun(refusal));
    }

    /// Starts the next phase once no request is pending and no parked state
    /// waits for its successor. After the deadline, it no longer waits for these
    /// successors.
    pub(crate) fn leave_when_finished(&mut self, outbox: &mut Outbox<'_>) {
        let next = match self.leaving {
            Some(Leaving::Finishing { deadline, next })
                if self.tasks.is_empty()
                    && (deadline <= outbox.now || !self.parked.has_unclaimed_state()) =>
            {
                next
            }
            _ => return,
        };
        match next {
            NextPhase::Exit => self.exit(outbox),
            NextPhase::Handover(purpose) => self.start_handover(outbox, purpose),
        }
    }

    pub(crate) fn expire_leaving(&mut self, outbox: &mut Outbox<'_>) {
        match &self.leaving {
            Some(Leaving::Finishing { deadline, .. }) if *deadline <= outbox.now => {
                self.abandon_tasks(outbox);
                self.leave_when_finished(outbox);
            }
            Some(Leaving::HandingOver(handover)) if handover.deadline <= outbox.now => {
                self.exit(outbox);
            }
            Some(Leaving::HandingOver(handover))
                if handover.resend_at.is_some_and(|at| at <= outbox.now) =>
            {
                self.send_part(outbox);
            }
            _ => {}
        }
    }

    /// Abandons all requests, waiting ones first, so that a slot that becomes
    /// free does not go to a request that would be aborted at once.
    fn abandon_tasks(&mut self, outbox: &mut Outbox<'_>) {
        let (waiting, others): (Vec<JobId>, Vec<JobId>) = self
            .tasks
            .keys()
            .partition(|job| matches!(self.tasks[*job].stage, Stage::New | Stage::Queued));
        for job in waiting.into_iter().chain(others) {
            let refusal = self.refusal(Reason::HolderAway, self.settings.leave.retry_after);
            self.abandon(outbox, job, refusal);
        }
    }

    fn start_handover(&mut self, outbox: &mut Outbox<'_>, purpose: Purpose) {
        let parts = self.parts(outbox.now, purpose);
        if parts.len() == 1 {
            return self.exit(outbox);
        }
        let peers = self.handover_peers();
        self.leaving = Some(Leaving::HandingOver(Handover {
            parts,
            index: 0,
            peers,
            deadline: outbox.now + self.settings.leave.handover_timeout,
            resend_at: None,
        }));
        self.send_part(outbox);
    }

    /// Sends the next part. If no peer is left to try, starts over with the
    /// peers of the current view: the only peer may have refused because it was
    /// still starting.
    fn send_part(&mut self, outbox: &mut Outbox<'_>) {
        let peers = self.handover_peers();
        let Some(Leaving::HandingOver(handover)) = &mut self.leaving else {
            return;
        };
        if handover.peers.is_empty() {
            handover.peers = peers;
        }
        handover.resend_at = None;
        match (handover.peers.first(), handover.parts.get(handover.index)) {
            (Some(&to), Some(part)) => outbox.push(Action::Park {
                to,
                part: part.clone(),
            }),
            _ => handover.resend_at = Some(outbox.now + RESEND_INTERVAL),
        }
    }

    pub(crate) fn on_parked(&mut self, outbox: &mut Outbox<'_>, index: u32, accepted: bool) {
        let Some(Leaving::HandingOver(handover)) = &mut self.leaving else {
            return;
        };
        if handover.peers.is_empty() || usize::try_from(index) != Ok(handover.index) {
            return;
        }
        let is_last = handover.index + 1 == handover.parts.len();
        match accepted {
            true if is_last => return self.exit(outbox),
            true => handover.index += 1,
            false if is_last => {
                handover.resend_at = Some(outbox.now + RESEND_INTERVAL);
                return;
            }
            false => {
                handover.peers.remove(0);
                handover.index = 0;
                if handover.peers.is_empty() {
                    handover.resend_at = Some(outbox.now + RESEND_INTERVAL);
                    return;
                }
            }
        }
        self.send_part(outbox);
    }

    fn exit(&mut self, outbox: &mut Outbox<'_>) {
        self.leaving = Some(Leaving::Exited);
        outbox.push(Action::Announce {
            state: State::Left,
            weight: self.gate.weight(),
        });
        outbox.push(Action::Exit);
    }

    /// Returns the control addresses of the peers that this agent may hand its
    /// state over to, in an order that depends only on the target ids, so that
    /// an agent and its successor try the same peers.
    fn handover_peers(&self) -> Vec<SocketAddr> {
        self.peers(self.settings.leave.max_peers, |state| state == State::Ready)
    }

    /// Returns the control addresses of the peers that may hold a predecessor's
    /// state. Since the state was parked, some peers may have started to leave
    /// and others may have joined, so more peers are asked than were tried.
    pub(crate) fn claim_peers(&self) -> Vec<SocketAddr> {
        let count = self.settings.leave.max_peers * CLAIM_PEER_FACTOR;
        self.peers(count, |state| state != State::Left)
    }

    fn peers(&self, count: usize, accepts: impl Fn(State) -> bool) -> Vec<SocketAddr> {
        let mut peers: Vec<&wire::Target> = self
            .view
            .targets
            .iter()
            .filter(|target| target.id != self.identity.id && accepts(target.state))
            .collect();
        peers.sort_by_key(|target| target.id.wrapping_sub(self.identity.id));
        peers
            .iter()
            .take(count)
            .map(|target| target.control)
            .collect()
    }
}
