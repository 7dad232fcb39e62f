//! A request's way: the holder, the agents it is passed to, the backend server.
use std::time::Duration;

use limit::Class;
use limit::Finish;
use limit::Job;
use limit::Release;
use limit::Verdict;

use super::super::policy::Forwarding;
use super::super::policy::Key;
use super::super::trial::DEADLINE;
use super::super::trial::HOP_DELAY;
use super::super::trial::WARM_UP_END;
use super::super::trial::Work;
use super::Event;
use super::Simulation;
use super::index_of;

/// A request from its issue on.
#[derive(Debug)]
pub struct Request {
    flow: usize,
    holder: usize,
    issued: Duration,
    /// The other agents to ask, last first.
    candidates: Vec<usize>,
    /// The best wait that another agent named.
    best: Option<Alternative>,
    last_asked: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Alternative {
    target: usize,
    wait: Duration,
}

impl Simulation {
    pub(super) fn request(&mut self, flow: usize, life: u32) {
        if self.flows[flow].generation != life {
            return;
        }
        match self.trial.work {
            Work::Long { .. } => self.schedule_request(flow),
            Work::Single { .. } => {
                let holder = self.flows[flow].holder;
                self.servers[holder].held -= 1;
            }
        }
        let holder = self.flows[flow].holder;
        self.recorder.issued += u64::from(self.now >= WARM_UP_END);
        if std::mem::replace(&mut self.flows[flow].has_requested, true) {
            self.servers[holder].record_request(self.now);
        }
        let request = self.requests.len();
        self.requests.push(Request {
            flow,
            holder,
            issued: self.now,
            candidates: Vec::new(),
            best: None,
            last_asked: None,
        });
        let gate = &self.servers[holder].gate;
        let (free, wait) = (gate.free(), gate.expected_wait(self.now));
        match self.policy.pass {
            Some(pass) if !free && wait > pass.threshold => {
                self.requests[request].candidates = self.candidates(request, pass);
                self.forward_next(request);
            }
            _ => self.offer(request, holder),
        }
    }

    fn candidates(&self, request: usize, pass: Forwarding) -> Vec<usize> {
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

    fn forward_next(&mut self, request: usize) {
        if let Some(target) = self.requests[request].candidates.pop() {
            return self.forward(request, target, false);
        }
        let holder = self.requests[request].holder;
        let wait = self.servers[holder].gate.expected_wait(self.now);
        match self.requests[request].best {
            Some(best) if best.wait + HOP_DELAY * 2 < wait => {
                self.forward(request, best.target, true)
            }
            _ => self.offer(request, holder),
        }
    }

    fn forward(&mut self, request: usize, target: usize, settle: bool) {
        self.recorder.messages += u64::from(self.now >= WARM_UP_END);
        self.requests[request].last_asked = Some(target);
        let ask = Event::Forward {
            request,
            target,
            must_queue: settle,
        };
        self.schedule(HOP_DELAY, ask);
    }

    pub(super) fn receive_forwarded(&mut self, request: usize, target: usize, settle: bool) {
        let gate = &self.servers[target].gate;
        if gate.free() || settle {
            return self.offer(request, target);
        }
        self.recorder.messages += u64::from(self.now >= WARM_UP_END);
        let wait = gate.expected_wait(self.now);
        self.schedule(HOP_DELAY, Event::NotRun { request, wait });
    }

    pub(super) fn not_run(&mut self, request: usize, wait: Duration) {
        let Request {
            holder,
            last_asked: asked,
            best,
            ..
        } = self.requests[request];
        if self.servers[holder].gate.free() {
            return self.offer(request, holder);
        }
        let better = best.is_none_or(|best| wait < best.wait);
        if let Some(target) = asked.filter(|_| better) {
            self.requests[request].best = Some(Alternative { target, wait });
        }
        self.forward_next(request);
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
            Verdict::Refuse { .. } => self.recorder.refused += u64::from(self.now >= WARM_UP_END),
        }
        self.schedule_gate_timer(target);
    }

    fn run_job(&mut self, request: usize, target: usize) {
        let time = self.servers[target].draw_service_time(self.now, &mut self.random);
        self.schedule(time, Event::Done { request, target });
    }

    pub(super) fn done(&mut self, request: usize, target: usize) {
        let Request { holder, issued, .. } = self.requests[request];
        let travelled = holder != target;
        let back = if travelled { HOP_DELAY } else { Duration::ZERO };
        let counted = u64::from(self.now >= WARM_UP_END);
        self.recorder.forwarded += u64::from(travelled) * counted;
        self.recorder.messages += u64::from(travelled) * counted;
        let latency = (self.now + back).saturating_sub(issued);
        self.recorder.record_answer(self.now, latency);
        let mut releases = Vec::new();
        let gate = &mut self.servers[target].gate;
        gate.finish(self.now, request as u64, Finish::Done, &mut releases);
        self.apply_releases(target, &releases);
    }

    pub(super) fn expire_queued(&mut self, target: usize) {
        self.gate_timers[target] = None;
        let mut releases = Vec::new();
        self.servers[target].gate.expire(self.now, &mut releases);
        self.apply_releases(target, &releases);
    }

    fn apply_releases(&mut self, target: usize, releases: &[Release]) {
        for release in releases {
            match *release {
                Release::Start(id) => {
                    self.run_job(usize::try_from(id).unwrap_or(usize::MAX), target);
                }
                Release::Expire(_) => self.recorder.refused += u64::from(self.now >= WARM_UP_END),
            }
        }
        self.schedule_gate_timer(target);
    }

    fn schedule_gate_timer(&mut self, target: usize) {
        let Some(deadline) = self.servers[target].gate.next_deadline() else {
            return;
        };
        if self.gate_timers[target].is_none_or(|wake| deadline < wake) {
            self.gate_timers[target] = Some(deadline);
            self.schedule(deadline.saturating_sub(self.now), Event::GateTimer(target));
        }
    }
}
