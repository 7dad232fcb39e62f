//! Sends the record that concerns every agent to the agents that this entry
//! watches. Agents receive only the records of their own service otherwise.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wire::Incarnation;
use wire::Revision;

use super::Registry;
use super::heartbeat::config_message;
use crate::Action;
use crate::record::BROADCAST_ADDRESS;
use crate::record::SubjectId;
use crate::watches::Watches;

/// Time for which a revision is sent to an agent with each acknowledgement, since the
/// message is not acknowledged itself. An evacuation has to be in force within 5 s.
const EAGER_TIME: Duration = Duration::from_secs(5);

/// Time after which it is sent again later.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// What was sent to the watched agents.
#[derive(Debug, Default)]
pub(super) struct Broadcast {
    /// Revision that was last sent to all of them.
    revision: Option<Revision>,
    sent: BTreeMap<SubjectId, Sent>,
}

/// Messages to one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    /// A process that was restarted knows nothing of an earlier message.
    incarnation: Incarnation,
    revision: Revision,
    first: Duration,
    last: Duration,
}

impl Broadcast {
    /// Records a message to an agent. Returns false if it is not due.
    fn begin(
        &mut self,
        now: Duration,
        id: SubjectId,
        incarnation: Incarnation,
        revision: Revision,
    ) -> bool {
        let sent = self.sent.get_mut(&id);
        match sent.filter(|sent| (sent.incarnation, sent.revision) == (incarnation, revision)) {
            Some(sent) if now >= sent.first + EAGER_TIME && now < sent.last + RESEND_INTERVAL => {
                return false;
            }
            Some(sent) => sent.last = now,
            None => {
                let sent = Sent {
                    incarnation,
                    revision,
                    first: now,
                    last: now,
                };
                self.sent.insert(id, sent);
            }
        }
        true
    }

    /// Forgets the agents that are no longer watched.
    pub(super) fn retain(&mut self, watches: &Watches) {
        self.sent.retain(|id, _| watches.get(*id).is_some());
    }
}

impl Registry {
    /// Sends the record to all watched agents once it has changed.
    pub(super) fn broadcast_change(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let revision = self.broadcast_revision();
        if revision == self.broadcast.revision {
            return;
        }
        self.broadcast.revision = revision;
        let watches = self.watches.iter();
        let agents: Vec<(SubjectId, SocketAddr, Incarnation)> = watches
            .filter(|(id, _)| self.directory.target(*id).is_some())
            .map(|(id, watch)| (id, watch.address, watch.incarnation))
            .collect();
        for (id, address, incarnation) in agents {
            self.broadcast_to(now, id, address, incarnation, actions);
        }
    }

    /// Sends the record to an agent unless it was sent to this process recently.
    pub(super) fn broadcast_to(
        &mut self,
        now: Duration,
        id: SubjectId,
        to: SocketAddr,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let view = self.directory.view(&BROADCAST_ADDRESS);
        let Some(message) = view.and_then(config_message) else {
            return;
        };
        let revision = self.broadcast_revision().unwrap_or_default();
        if self.broadcast.begin(now, id, incarnation, revision) {
            self.link.send(to, message, actions);
        }
    }

    fn broadcast_revision(&self) -> Option<Revision> {
        let view = self.directory.view(&BROADCAST_ADDRESS)?;
        view.config.as_ref().map(|config| config.revision)
    }
}
