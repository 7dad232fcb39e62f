//! Path of a request: the holder, the agents that it is forwarded to, and the
//! backend server.
use std::time::Duration;

use limit::Class;
use limit::Finish;
use limit::Job;
use limit::Release;
use limit::Verdict;

use super::super::policy::Forwarding;
use super::super::policy::Key;
use super::super::trial::DEADLINE;
use super::super::trial::DELAY;
use super::super::trial::WARM_UP_END;
use super::super::trial::Work;
use super::Event;
use super::Simulation;
use super::index_of;

/// A request from its arrival at the holder.
#[derive(Debug)]
pub struct Request {
    flow: usize,
    holder: usize,
    issued: Duration,
    /// Other targets still to ask, in reverse order.
    candidates: Vec<usize>,
    /// Other target with the shortest expected wait so far.
    best: Option<Alternative>,
    /// Other target that was asked last.
    last_asked: Option<usize>,
}

/// Another target and the wait that it expects.
#[derive(Clone, Copy, Debug)]
struct Alternative {
    target: usize,
    wait: Duration,
}

impl Simulation {
    /// Handles the arrival of a flow's next request at the holder. Ignores that
    /// of an earlier generation, whose flow has ended.
    pub(super) fn request(&mut self, flow: usize, generation: u32) {
        if self.flows[flow].generation != generation {
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
        let (free, wait) = (gate.has_free_slot(), gate.expected_wait(self.now));
        match self.policy.pass {
            Some(forwarding) if !free && wait > forwarding.threshold => {
                self.requests[request].candidates = self.candidates(request, forwarding);
                self.forward_next(request);
            }
            _ => self.offer(request, holder),
        }
    }

    /// Returns the other targets that the holder may forward a request to, in
    /// reverse order.
    fn candidates(&self, request: usize, forwarding: Forwarding) -> Vec<usize> {
        let flow = self.requests[request].flow;
        let flow_key = self.flows[flow].key;
        let key = match forwarding.key {
            Key::Flow => flow_key,
            Key::Request => route::hash::mix(flow_key, request as u64),
        };
        let holder = self.requests[request].holder;
        let open = self.order.top_open(key, forwarding.width + 1).map(index_of);
        let candidates = open.filter(|&target| target != holder);
        let mut candidates: Vec<usize> = candidates.take(forwarding.width).collect();
        candidates.reverse();
        candidates
    }

    /// Forwards a request to the next candidate. After the last, sends it to the
    /// one with the shortest wait if that, with two hops, is less than the wait
    /// at the holder; otherwise the holder runs it.
    fn forward_next(&mut self, request: usize) {
        if let Some(target) = self.requests[request].candidates.pop() {
            return self.forward(request, target, false);
        }
        let holder = self.requests[request].holder;
        let wait = self.servers[holder].gate.expected_wait(self.now);
        match self.requests[request].best {
            Some(best) if best.wait + DELAY * 2 < wait => self.forward(request, best.target, true),
            _ => self.offer(request, holder),
        }
    }

    fn forward(&mut self, request: usize, target: usize, must_queue: bool) {
        self.recorder.messages += u64::from(self.now >= WARM_UP_END);
        self.requests[request].last_asked = Some(target);
        let event = Event::Forward {
            request,
            target,
            must_queue,
        };
        self.schedule(DELAY, event);
    }

    /// Handles the arrival of a forwarded request at another agent, which runs
    /// it or replies with its expected wait.
    pub(super) fn receive_forwarded(&mut self, request: usize, target: usize, must_queue: bool) {
        let gate = &self.servers[target].gate;
        if gate.has_free_slot() || must_queue {
            return self.offer(request, target);
        }
        self.recorder.messages += u64::from(self.now >= WARM_UP_END);
        let wait = gate.expected_wait(self.now);
        self.schedule(DELAY, Event::NotRun { request, wait });
    }

    /// Handles the reply of an agent that did not run a forwarded request: runs
    /// it at the holder if a slot is free there by now, or asks the next.
    pub(super) fn not_run(&mut self, request: usize, wait: Duration) {
        let Request {
            holder,
            last_asked,
            best,
            ..
        } = self.requests[request];
        if self.servers[holder].gate.has_free_slot() {
            return self.offer(request, holder);
        }
        let better = best.is_none_or(|best| wait < best.wait);
        if let Some(target) = last_asked.filter(|_| better) {
            self.requests[request].best = Some(Alternative { target, wait });
        }
        self.forward_next(request);
    }

    /// Offers a request to the gate of a target.
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

    /// Runs a request at a target and schedules its end.
    fn run_job(&mut self, request: usize, target: usize) {
        let time = self.servers[target].draw_service_time(self.now, &mut self.random);
        self.schedule(time, Event::Done { request, target });
    }

    /// Records the answer to a request and frees its slot.
    pub(super) fn done(&mut self, request: usize, target: usize) {
        let Request { holder, issued, .. } = self.requests[request];
        let forwarded = holder != target;
        let return_delay = if forwarded { DELAY } else { Duration::ZERO };
        let counted = u64::from(self.now >= WARM_UP_END);
        self.recorder.forwarded += u64::from(forwarded) * counted;
        self.recorder.messages += u64::from(forwarded) * counted;
        let latency = (self.now + return_delay).saturating_sub(issued);
        self.recorder.record_answer(self.now, latency);
        let mut releases = Vec::new();
        let gate = &mut self.servers[target].gate;
        gate.finish(self.now, request as u64, Finish::Done, &mut releases);
        self.apply_releases(target, &releases);
    }

    /// Expires the queued requests of a target whose deadline has passed.
    pub(super) fn expire_queued(&mut self, target: usize) {
        self.gate_timers[target] = None;
        let mut releases = Vec::new();
        self.servers[target].gate.expire(self.now, &mut releases);
        self.apply_releases(target, &releases);
    }

    /// Runs the requests that a gate has started, and counts those that it has
    /// expired as refused.
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

    /// Schedules the next deadline of a target's gate, unless an event at or
    /// before it is pending.
    fn schedule_gate_timer(&mut self, target: usize) {
        let Some(deadline) = self.servers[target].gate.next_deadline() else {
            return;
        };
        if self.gate_timers[target].is_none_or(|scheduled| deadline < scheduled) {
            self.gate_timers[target] = Some(deadline);
            self.schedule(deadline.saturating_sub(self.now), Event::GateTimer(target));
        }
    }
}
