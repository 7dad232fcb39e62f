//! Decides whether a flow that no agent is known to hold has ended.
//!
//! A reset on a flow that is alive breaks it, so anything that is not known keeps the
//! flow open: a possible holder that is unknown, marked down, or has not denied the
//! flow.
use std::collections::HashMap;

use wire::TargetId;
use wire::batch::Bitmap;

/// Set of backend servers, by their index in a [`Roster`].
pub type TargetSet = Bitmap;

/// Indices of the backend servers that an entry has heard of.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    indices: HashMap<TargetId, usize>,
}

/// What an entry knows about the possible holders of a flow.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Whether all agents can be assumed to be known.
    pub knows_all_agents: bool,
    /// Whether this entry, or an agent that answered, knows an agent that is marked
    /// down, or knows more agents than this entry.
    pub has_doubtful_agent: bool,
    /// All known backend servers that may hold flows of the route.
    pub holders: &'a TargetSet,
    /// Those of services that the route is known to have named. No probe may go to the
    /// others.
    pub named: &'a TargetSet,
    /// Those that started about when this entry did, or later.
    pub young: &'a TargetSet,
    /// Whether this entry has started so recently that it may not have heard of an
    /// agent that starts slowly beside a server which still runs.
    pub is_recent: bool,
}

/// What agents have answered about a flow.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// Backend servers that are certain not to hold it.
    pub denied: TargetSet,
    /// Backend servers whose agents do not hold it, whether they are certain or not.
    pub not_held: TargetSet,
}

/// Whether a flow has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The flow has ended: no backend server can hold it.
    Ended,
    /// The flow may be open.
    Open(Doubt),
}

/// Reason for which a flow may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Doubt {
    /// Some agents may not be known yet.
    AgentsUnknown,
    /// An agent is marked down, or known to others only.
    AgentDoubtful,
    /// A backend server has run since before this entry started, so others that this
    /// entry does not know yet may run as well.
    ServersOlder,
    /// An agent has not denied holding the flow.
    NotDenied,
}

impl Roster {
    /// Returns the index of a backend server, which never changes.
    pub fn index(&mut self, target: TargetId) -> usize {
        let next = self.indices.len();
        *self.indices.entry(target).or_insert(next)
    }
}

/// Decides whether a flow has ended, given what agents have answered.
///
/// An entry that runs for long has heard of every agent that it or others placed
/// flows with. One that has just started may lack an agent that starts slowly beside
/// a server which still runs; it decides only after a failure of everything, which
/// shows in that all servers are young: the servers that it does not know have then
/// started anew as well. An uncertain answer of a young server then counts as a denial
/// where no probe may go.
#[must_use]
pub fn decide(view: &View<'_>, answers: &Answers) -> Verdict {
    match view {
        _ if !view.knows_all_agents || view.holders.is_empty() => {
            Verdict::Open(Doubt::AgentsUnknown)
        }
        _ if view.has_doubtful_agent => Verdict::Open(Doubt::AgentDoubtful),
        _ if !is_denied(view, answers) => Verdict::Open(Doubt::NotDenied),
        _ if view.is_recent && !view.young.contains_all(view.holders) => {
            Verdict::Open(Doubt::ServersOlder)
        }
        _ => Verdict::Ended,
    }
}

/// Returns true if every possible holder has denied the flow.
fn is_denied(view: &View<'_>, answers: &Answers) -> bool {
    let denied = &answers.denied;
    if !view.is_recent || denied.contains_all(view.holders) {
        return denied.contains_all(view.holders);
    }
    let presumed = view.young.intersection(&answers.not_held);
    denied.contains_all(view.named) && denied.union(&presumed).contains_all(view.holders)
}
