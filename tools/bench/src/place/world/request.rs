//! A request's way: the holder, the agents it is passed to, the backend server.
use std::time::Duration;

use limit::Class;
use limit::Finish;
use limit::Job;
use limit::Release;
use limit::Verdict;

use super::super::policy::Key;
use super::super::policy::Pass;
use super::super::trial::DEADLINE;
use super::super::trial::HOP;
use super::super::trial::WARM;
use super::super::trial::Work;
use super::Event;
use super::World;
use super::index_of;

/// A request from its issue on.
#[derive(Debug)]
pub struct Request {
    flow: usize,
    holder: usize,
    issued: Duration,
    /// The other agents to ask, last first.
    others: Vec<usize>,
    /// The best wait that another agent named.
    best: Option<Offer>,
    asked: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Offer {
    target: usize,
    wait: Duration,
}

impl World {
    pub(super) fn request(&mut self, flow: usize, life: u32) {
        if self.flows[flow].life != life {
            return;
        }
        match self.trial.work {
            Work::Long { .. } => self.plan_request(flow),
            Work::Single { .. } => {
                let holder = self.flows[flow].holder;
                self.servers[holder].held -= 1;
            }
        }
        let holder = self.flows[flow].holder;
        self.count.issued += u64::from(self.now >= WARM);
        if std::mem::replace(&mut self.flows[flow].asked, true) {
            self.servers[holder].note_request(self.now);
        }
        let request = self.requests.len();
        self.requests.push(Request {
            flow,
            holder,
            issued: self.now,
            others: Vec::new(),
            best: None,
            asked: None,
        });
        let gate = &self.servers[holder].gate;
        let (free, wait) = (gate.free(), gate.expected_wait(self.now));
        match self.policy.pass {
            Some(pass) if !free && wait > pass.threshold => {
                self.requests[request].others = self.others(request, pass);
                self.ask_next(request);
            }
            _ => self.offer(request, holder),
        }
    }

    fn others(&self, request: usize, pass: Pass) -> Vec<usize> {
        let flow = self.requests[request].flow;
        let own_key = self.flows[flow].key;
        let key = match pass.key {
            Key::Flow => own_key,
            Key::Request => route::hash::mix(own_key, request as u64),
        };
        let holder = self.requests[request].holder;
        let open = self.order.open(key, pass.width + 1).map(index_of);
        let others = open.filter(|&target| target != holder);
        let mut others: Vec<usize> = others.take(pass.width).collect();
        others.reverse();
        others
    }

    fn ask_next(&mut self, request: usize) {
        if let Some(target) = self.requests[request].others.pop() {
            return self.send(request, target, false);
        }
        let holder = self.requests[request].holder;
        let wait = self.servers[holder].gate.expected_wait(self.now);
        match self.requests[request].best {
            Some(best) if best.wait + HOP * 2 < wait => self.send(request, best.target, true),
            _ => self.offer(request, holder),
        }
    }

    fn send(&mut self, request: usize, target: usize, settle: bool) {
        self.count.messages += u64::from(self.now >= WARM);
        self.requests[request].asked = Some(target);
        let ask = Event::Ask {
            request,
            target,
            settle,
        };
        self.plan(HOP, ask);
    }

    pub(super) fn ask(&mut self, request: usize, target: usize, settle: bool) {
        let gate = &self.servers[target].gate;
        if gate.free() || settle {
            return self.offer(request, target);
        }
        self.count.messages += u64::from(self.now >= WARM);
        let wait = gate.expected_wait(self.now);
        self.plan(HOP, Event::NotRun { request, wait });
    }

    pub(super) fn not_run(&mut self, request: usize, wait: Duration) {
        let Request {
            holder,
            asked,
            best,
            ..
        } = self.requests[request];
        if self.servers[holder].gate.free() {
            return self.offer(request, holder);
        }
        let better = best.is_none_or(|best| wait < best.wait);
        if let Some(target) = asked.filter(|_| better) {
            self.requests[request].best = Some(Offer { target, wait });
        }
        self.ask_next(request);
    }

    fn offer(&mut self, request: usize, target: usize) {
        let job = Job {
            id: request as u64,
            deadline: self.requests[request].issued + DEADLINE,
            class: Class::Short,
        };
        match self.servers[target].gate.offer(self.now, job) {
            Verdict::Start => self.run_job(request, target),
            Verdict::Queued => {}
            Verdict::Refuse { .. } => self.count.refused += u64::from(self.now >= WARM),
        }
        self.plan_wake(target);
    }

    fn run_job(&mut self, request: usize, target: usize) {
        let time = self.servers[target].draw(self.now, &mut self.random);
        self.plan(time, Event::Done { request, target });
    }

    pub(super) fn done(&mut self, request: usize, target: usize) {
        let Request { holder, issued, .. } = self.requests[request];
        let travelled = holder != target;
        let back = if travelled { HOP } else { Duration::ZERO };
        let counted = u64::from(self.now >= WARM);
        self.count.travelled += u64::from(travelled) * counted;
        self.count.messages += u64::from(travelled) * counted;
        let latency = (self.now + back).saturating_sub(issued);
        self.count.answer(self.now, latency);
        let mut releases = Vec::new();
        let gate = &mut self.servers[target].gate;
        gate.finish(self.now, request as u64, Finish::Done, &mut releases);
        self.release(target, &releases);
    }

    pub(super) fn wake(&mut self, target: usize) {
        self.wakes[target] = None;
        let mut releases = Vec::new();
        self.servers[target].gate.expire(self.now, &mut releases);
        self.release(target, &releases);
    }

    fn release(&mut self, target: usize, releases: &[Release]) {
        for release in releases {
            match *release {
                Release::Start(id) => {
                    self.run_job(usize::try_from(id).unwrap_or(usize::MAX), target);
                }
                Release::Expire(_) => self.count.refused += u64::from(self.now >= WARM),
            }
        }
        self.plan_wake(target);
    }

    fn plan_wake(&mut self, target: usize) {
        let Some(deadline) = self.servers[target].gate.next_deadline() else {
            return;
        };
        if self.wakes[target].is_none_or(|wake| deadline < wake) {
            self.wakes[target] = Some(deadline);
            self.plan(deadline.saturating_sub(self.now), Event::Wake(target));
        }
    }
}
