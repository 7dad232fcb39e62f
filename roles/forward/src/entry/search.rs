//! Searches for the holders of flows that this entry does not know.
use std::sync::Arc;
use std::time::Duration;

use wire::FlowId;
use wire::TargetId;
use wire::Transit;
use wire::transit::Carry;

use super::Action;
use super::Entry;
use super::Passing;
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
                    held.phase = Phase::Lost;
                    held.used = now;
                    actions.push(Action::Vanished { flow });
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
