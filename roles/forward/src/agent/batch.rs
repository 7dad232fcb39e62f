//! Searches for the holders of many flows at once.
//!
//! The load that this addresses: after a loss of power, or a stop of all entries,
//! thousands of flows are unknown to their entries within a second. One search a
//! flow took several frames at each agent, on processes with a tenth of a core that
//! also serve new flows.
use std::net::SocketAddr;
use std::time::Duration;

use wire::FlowId;
use wire::TargetId;
use wire::Transit;
use wire::batch;
use wire::batch::Answer;
use wire::batch::Findings;
use wire::batch::Lookup;
use wire::batch::Report;
use wire::batch::Search;
use wire::batch::Sought;

use super::Action;
use super::Agent;
use super::DropReason;
use crate::millis;

/// Maximum number of concurrent searches for batches. When it is reached, an entry
/// asks another agent after a timeout.
const MAX_BATCHES: usize = 256;

/// Time after which the answers received so far are reported, so that flows whose
/// holder has answered do not wait for a silent agent.
const REPORT_DELAY: Duration = Duration::from_millis(30);

/// Time for which an agent waits for answers to a batch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an agent that could not tell about some flows of a batch reports
/// by itself once it can. Entries repeat their questions more often than that.
const QUESTION_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which returned packets are collected before they are reported.
const RETURNED_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of batches that an agent remembers to report on. Each takes some
/// 20 bytes a flow.
const MAX_QUESTIONS: usize = 64;

/// Searches and open questions of an agent.
#[derive(Debug, Default)]
pub(super) struct Batches {
    pending: Vec<Pending>,
    questions: Vec<Question>,
    /// Time from which the open questions are to be looked at again, because the
    /// agent has learned something since.
    review_at: Option<Duration>,
}

/// Search for the holders of a batch that has not ended yet.
#[derive(Debug)]
struct Pending {
    started_at: Duration,
    entry: SocketAddr,
    batch: batch::Number,
    /// Backend servers whose agents have not answered.
    silent: Vec<TargetId>,
    /// Answers that have not been reported to the entry.
    findings: Vec<Findings>,
}

/// Batch with flows that this agent could not tell about.
#[derive(Debug)]
struct Question {
    asked_at: Duration,
    search: Search,
    /// What the entry has been told.
    known: Findings,
}

/// What an agent knows about one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Held,
    Complete,
    Returned,
    Younger,
    Unknown,
}

impl Batches {
    /// Records that the agent has learned when its backend server started.
    pub const fn record_start(&mut self, now: Duration) {
        self.review_at = Some(now);
    }

    /// Records that the backend server returned a packet.
    pub fn record_returned(&mut self, now: Duration) {
        self.review_at.get_or_insert(now + RETURNED_DELAY);
    }
}

impl Agent {
    /// Handles an entry's request to search for the holders of many flows: looks
    /// them up here and asks all other agents of the service.
    pub(super) fn handle_search_batch(
        &mut self,
        now: Duration,
        search: Search,
        actions: &mut Vec<Action>,
    ) {
        if search.target != self.own.target {
            return;
        }
        if self.batches.pending.len() >= MAX_BATCHES || search.flows.len() > batch::MAX_FLOWS {
            return actions.push(Action::Dropped(DropReason::SearchLimit));
        }
        for hop in self.peers.hops.iter() {
            actions.push(Action::Send {
                to: hop.address,
                transit: Transit::LookupBatch(Lookup {
                    searcher: self.own.address,
                    search: Search {
                        target: hop.target,
                        ..search.clone()
                    },
                }),
            });
        }
        let silent = self.peers.hops.iter().map(|hop| hop.target).collect();
        let (entry, number) = (search.entry, search.batch);
        let own = self.answer(now, search);
        self.batches.pending.push(Pending {
            started_at: now,
            entry,
            batch: number,
            silent,
            findings: vec![own],
        });
    }

    /// Answers a searching agent which of many flows are held here.
    pub(super) fn handle_lookup_batch(
        &mut self,
        now: Duration,
        lookup: Lookup,
        actions: &mut Vec<Action>,
    ) {
        let Lookup { searcher, search } = lookup;
        if search.target != self.own.target || search.flows.len() > batch::MAX_FLOWS {
            return;
        }
        let (entry, number) = (search.entry, search.batch);
        let findings = self.answer(now, search);
        actions.push(Action::Send {
            to: searcher,
            transit: Transit::Answer(Box::new(Answer {
                entry,
                batch: number,
                findings,
            })),
        });
    }

    /// Records the answer of another agent.
    pub(super) fn handle_answer(
        &mut self,
        now: Duration,
        answer: Box<Answer>,
        actions: &mut Vec<Action>,
    ) {
        let mut pending = self.batches.pending.iter_mut();
        let searched =
            pending.find(|pending| (pending.entry, pending.batch) == (answer.entry, answer.batch));
        let Some(pending) = searched else {
            return;
        };
        let target = answer.findings.agent.target;
        if !pending.silent.contains(&target) {
            return;
        }
        pending.silent.retain(|silent| *silent != target);
        pending.findings.push(answer.findings);
        self.report_batches(now, actions);
    }

    /// Reports the answers of searches that have ended or have waited long enough,
    /// and what this agent has learned about the flows of earlier batches.
    pub(super) fn report_batches(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for pending in &mut self.batches.pending {
            let is_due = pending.silent.is_empty() || now >= pending.started_at + REPORT_DELAY;
            if !is_due {
                continue;
            }
            for findings in pending.findings.chunks(batch::MAX_FINDINGS) {
                send_report(pending.entry, pending.batch, findings.to_vec(), actions);
            }
            pending.findings.clear();
        }
        let is_over = |pending: &Pending| {
            pending.silent.is_empty() || now >= pending.started_at + ANSWER_TIMEOUT
        };
        self.batches.pending.retain(|pending| !is_over(pending));
        if self.batches.review_at.is_some_and(|due| now >= due) {
            self.batches.review_at = None;
            self.answer_questions(now, actions);
        }
    }

    /// Removes the open questions that entries have repeated since.
    pub(super) fn expire_batches(&mut self, now: Duration) {
        let questions = &mut self.batches.questions;
        questions.retain(|question| now < question.asked_at + QUESTION_LIFETIME);
    }

    /// Looks up the flows of a batch, and remembers the batch if some of them are
    /// uncertain.
    fn answer(&mut self, now: Duration, search: Search) -> Findings {
        let findings = self.look_up_batch(now, &search, Duration::ZERO);
        let is_certain = |index| findings.held.contains(index) || findings.denies(index);
        if !(0..search.flows.len()).all(is_certain) {
            if self.batches.questions.len() >= MAX_QUESTIONS {
                self.batches.questions.remove(0);
            }
            self.batches.questions.push(Question {
                asked_at: now,
                search,
                known: findings.clone(),
            });
        }
        findings
    }

    /// Tells entries what this agent has learned since it answered them.
    fn answer_questions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut questions = std::mem::take(&mut self.batches.questions);
        for question in &mut questions {
            let waited = now.saturating_sub(question.asked_at);
            let findings = self.look_up_batch(now, &question.search, waited);
            let count = question.search.flows.len();
            let is_new = (0..count).any(|index| {
                findings.denies(index) && !question.known.denies(index)
                    || findings.held.contains(index) && !question.known.held.contains(index)
            });
            if is_new {
                let (entry, number) = (question.search.entry, question.search.batch);
                question.known = findings.clone();
                send_report(entry, number, vec![findings], actions);
            }
        }
        self.batches.questions = questions;
    }

    /// Returns what this agent knows about the flows of a batch that it received
    /// `waited` ago.
    fn look_up_batch(&self, now: Duration, search: &Search, waited: Duration) -> Findings {
        let known = self.peers.hops.len() + 1;
        let mut findings = Findings {
            agent: self.own,
            age_ms: self.max_age_as_proof(now).map(millis),
            start: self.server_start(),
            known_agents: u16::try_from(known).unwrap_or(u16::MAX),
            has_down_agent: self.peers.has_down_agent,
            held: batch::Bitmap::default(),
            complete: batch::Bitmap::default(),
            returned: batch::Bitmap::default(),
            younger: batch::Bitmap::default(),
        };
        for (index, sought) in search.flows.iter().enumerate() {
            let flows = match self.verdict(now, search.flow(sought), sought, waited) {
                Verdict::Held => &mut findings.held,
                Verdict::Complete => &mut findings.complete,
                Verdict::Returned => &mut findings.returned,
                Verdict::Younger => &mut findings.younger,
                Verdict::Unknown => continue,
            };
            flows.insert(index);
        }
        findings
    }

    /// Returns what this agent knows about a flow.
    fn verdict(&self, now: Duration, flow: FlowId, sought: &Sought, waited: Duration) -> Verdict {
        let age = Duration::from_millis(u64::from(sought.age_ms)) + waited;
        let server_age = self.server_age.map(|server| server.longest(now));
        match self.flows.get(&flow) {
            Some(held) if held.is_used_here(sought.acknowledged) => Verdict::Held,
            None if self.flows_not_held.get(now, &flow).is_some() => Verdict::Returned,
            // The server may keep it for longer than this process does.
            None if self.idle_flows.get(now, &flow).is_some() => Verdict::Unknown,
            None if self.knows_all_flows(now) => Verdict::Complete,
            // The packet was sent before the entry received it, so the server was
            // not running then.
            None if server_age.is_some_and(|server_age| server_age < age) => Verdict::Younger,
            // If the flow is known but not used here, the caller may be opening
            // another flow from the same port.
            Some(_) | None => Verdict::Unknown,
        }
    }

    /// Returns true if this process has seen all flows of its backend server.
    pub(super) fn knows_all_flows(&self, now: Duration) -> bool {
        let agent_age = now.saturating_sub(self.started_at);
        self.server_age.is_some()
            && (!self.may_have_prior_flows() || agent_age >= self.settings.max_flow_age)
    }
}

fn send_report(
    entry: SocketAddr,
    number: batch::Number,
    findings: Vec<Findings>,
    actions: &mut Vec<Action>,
) {
    if findings.is_empty() {
        return;
    }
    actions.push(Action::Send {
        to: entry,
        transit: Transit::Report(Report {
            batch: number,
            findings,
        }),
    });
}
