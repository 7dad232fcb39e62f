//! Searches for the holders of flows that this entry does not know.
use std::sync::Arc;
use std::time::Duration;

use wire::FlowId;
use wire::TargetId;
use wire::Transit;
use wire::transit::Absent;
use wire::transit::Carry;

use super::Action;
use super::Entry;
use super::Passing;
use super::Refusal;
use super::flow;
use super::flow::Phase;
use super::flow::Stage;
use crate::Routes;

impl Entry {
    /// Searches for the holder of a flow, which is not `absent`: in the own
    /// availability zone first.
    pub(super) fn seek(&mut self, routes: &Routes, absent: Option<TargetId>, passing: Passing<'_>) {
        let flow = passing.segment.from_caller();
        let seeking = flow::Seeking {
            stage: Stage::Near,
            sent: passing.now,
            packet: passing.packet,
            may_try: self.knows_all(passing.now),
            absent,
            denied: Vec::new(),
            acknowledged: passing.segment.acknowledged,
            waiting: Vec::new(),
        };
        self.ask(routes, flow, &seeking, passing.actions);
        self.searches.push_back(flow);
        self.remember(passing.now, flow, Phase::Seeking(seeking));
    }

    /// Asks the agents of a stage of a search.
    fn ask(
        &self,
        routes: &Routes,
        flow: FlowId,
        seeking: &flow::Seeking,
        actions: &mut Vec<Action>,
    ) {
        let Some(route) = routes.route(flow.service) else {
            return;
        };
        let is_near = seeking.stage == Stage::Near;
        let mut asked = 0;
        for target in routes.holders(route) {
            let is_asked = (target.zone == self.zone) == is_near;
            if !is_asked || seeking.absent == Some(target.id) {
                continue;
            }
            asked += 1;
            actions.push(Action::Send {
                to: target.address,
                transit: Transit::Seek(Carry {
                    target: target.id,
                    entry: self.address,
                    may_try: seeking.may_try,
                    denied_below_ms: self.denied_below_ms(seeking.sent),
                    packet: seeking.packet.clone(),
                }),
            });
        }
        actions.push(Action::Sought {
            flow,
            asked,
            may_try: seeking.may_try,
        });
    }

    /// Time up to which backend servers have started with this entry or after it,
    /// so that flows which the entry does not know are not theirs. Zero for an
    /// entry that is older than any flow which its callers may have forgotten.
    fn denied_below_ms(&self, now: Duration) -> u32 {
        let age = now.saturating_sub(self.started);
        if age > self.settings.anew {
            return 0;
        }
        let limit = age + self.settings.together;
        u32::try_from(limit.as_millis()).unwrap_or(u32::MAX)
    }

    /// Notes that a backend server surely does not hold a flow. Where all of its
    /// service say so, and none is older than this entry, the flow has ended with
    /// its backend server, and the caller is told.
    pub(super) fn denied(&mut self, now: Duration, absent: &Absent, actions: &mut Vec<Action>) {
        let limit = self.denied_below_ms(now);
        let is_anew = absent.age_ms.is_some_and(|age| age <= limit);
        let knows_all = self.knows_all(now);
        let flow = absent.flow;
        let Some(Phase::Seeking(seeking)) = self.flows.get_mut(&flow).map(|held| &mut held.phase)
        else {
            return;
        };
        if !is_anew || seeking.denied.contains(&absent.target) {
            return;
        }
        seeking.denied.push(absent.target);
        let Some(route) = self.routes.route(flow.service) else {
            return;
        };
        let has_silent = self.routes.has_silent(route);
        let mut holders = self.routes.holders(route);
        if knows_all && !has_silent && holders.all(|one| seeking.denied.contains(&one.id)) {
            let sequence = seeking.acknowledged;
            self.flows.remove(&flow);
            actions.push(ended(flow, sequence));
        }
    }

    /// Takes the searches further that have had no answer.
    pub(super) fn search_on(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.searches.is_empty() {
            return;
        }
        let routes = Arc::clone(&self.routes);
        let knows_all = self.knows_all(now);
        while let Some(flow) = self.searches.front().copied() {
            let Some(held) = self.flows.get_mut(&flow) else {
                self.searches.pop_front();
                continue;
            };
            let Phase::Seeking(seeking) = &mut held.phase else {
                self.searches.pop_front();
                continue;
            };
            let wait = match seeking.stage {
                Stage::Near => self.settings.near,
                Stage::Far => self.settings.answer,
            };
            if now < seeking.sent + wait {
                return;
            }
            self.searches.pop_front();
            seeking.sent = now;
            match seeking.stage {
                Stage::Near => seeking.stage = Stage::Far,
                Stage::Far if !seeking.may_try => {
                    seeking.stage = Stage::Near;
                    seeking.may_try = knows_all;
                }
                Stage::Far => {
                    let route = routes.route(flow.service);
                    let has_silent = route.is_some_and(|route| routes.has_silent(route));
                    actions.push(Action::Vanished {
                        flow,
                        denied: seeking.denied.len(),
                        holders: route.map_or(0, |route| routes.holders(route).count()),
                        knows_all: knows_all && !has_silent,
                    });
                    held.phase = Phase::Lost;
                    held.used = now;
                    held.since = now;
                    continue;
                }
            }
            // Until all agents are known, those that know their flows were asked.
            let asks_again = seeking.stage == Stage::Far || seeking.may_try;
            self.searches.push_back(flow);
            if asks_again
                && let Some(Phase::Seeking(seeking)) = self.flows.get(&flow).map(|held| &held.phase)
            {
                self.ask(&routes, flow, seeking, actions);
            }
        }
    }
}

/// Tells the caller that its flow has ended with its backend server.
pub(super) const fn ended(flow: FlowId, sequence: u32) -> Action {
    Action::Reset {
        flow,
        sequence,
        reason: Refusal::ServerEnded,
    }
}
