//! Tasks of callers: when they arrive, the flows that carry their requests, and retries
//! where these are allowed.
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::address;
use crate::harness::Harness;
use crate::request::TaskId;

/// Largest number of attempts of one task.
const MAX_ATTEMPTS: u32 = 3;

/// Pause before a task is retried; also the longest backlog of arrivals that
/// callers catch up on after the soak itself was delayed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Work that a caller wants done; each attempt is one request.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    pub id: TaskId,
    pub service: usize,
    pub route: usize,
    pub attempt: u32,
    pub begun: Duration,
}

impl Harness {
    /// Sends no requests of new tasks of a service for some time; its long flows stay
    /// open.
    pub fn pause_callers(&mut self, service: usize, time: Duration) {
        let until = self.now() + time;
        self.callers.paused.insert(service, until);
    }

    /// Opens a long flow of a service with one request.
    pub fn open_long_flow(&mut self, service: usize) {
        let now = self.now();
        let Some(route) = self.route_to(service) else {
            return;
        };
        let task = self.new_task(now, service, route);
        if let Some(id) = self.open(now, service, route, Some(task))
            && let Some(flow) = self.callers.flows.get_mut(&id)
        {
            flow.is_long = true;
        }
    }

    /// Sends a request on each idle long flow of a service.
    pub fn use_long_flows(&mut self, service: usize) {
        let now = self.now();
        let flows = self.callers.flows.values();
        let idle = flows.filter(|flow| flow.is_idle_long_flow_of(service));
        for _ in 0..idle.count() {
            if let Some(route) = self.route_to(service) {
                let task = self.new_task(now, service, route);
                self.dispatch(now, task);
            }
        }
    }

    /// Starts the tasks that are due, and opens a long flow of each service
    /// that has too few.
    pub(super) fn start_due_tasks(&mut self, now: Duration) {
        let services = self.topology.services.clone();
        self.callers.arrivals.resize(services.len(), Duration::ZERO);
        for (number, service) in services.iter().enumerate() {
            while !self.callers.is_stopped && self.callers.arrivals[number] <= now {
                let gap = -(1.0 - self.random.f64()).ln() / f64::from(service.rate);
                let last = self.callers.arrivals[number].max(now.saturating_sub(RETRY_PAUSE));
                self.callers.arrivals[number] = last + Duration::from_secs_f64(gap);
                let paused = self.callers.paused.get(&number);
                let is_paused = paused.is_some_and(|until| now < *until);
                if let Some(route) = self.route_to(number).filter(|_| !is_paused) {
                    let task = self.new_task(now, number, route);
                    self.dispatch(now, task);
                }
            }
            let held = self.callers.flows.values();
            let held = held
                .filter(|flow| flow.is_long && flow.service == number)
                .count();
            if held < service.long_flows
                && !self.callers.is_stopped
                && let Some(route) = self.route_to(number)
            {
                self.open(now, number, route, None);
            }
        }
    }

    /// Returns a random route of the newest configuration that leads to a
    /// service.
    fn route_to(&mut self, service: usize) -> Option<usize> {
        let newest = self.history.newest();
        let addresses = newest.iter().filter(|(_, routed)| **routed == service);
        let addresses: Vec<SocketAddrV4> = addresses.map(|(address, _)| *address).collect();
        if addresses.is_empty() {
            return None;
        }
        let address = addresses[self.random.usize(..addresses.len())];
        let routes = 0..2 * self.topology.services.len();
        routes
            .into_iter()
            .find(|route| address::service(*route) == address)
    }

    fn new_task(&mut self, begun: Duration, service: usize, route: usize) -> Task {
        self.callers.next_task += 1;
        let id = self.callers.next_task;
        self.callers.services.insert(id, service);
        Task {
            id,
            service,
            route,
            attempt: 1,
            begun,
        }
    }

    /// Sends a task's request on the long flow that has been idle longest, or
    /// opens a flow for it.
    pub(super) fn dispatch(&mut self, now: Duration, task: Task) {
        let flows = self.callers.flows.iter();
        let idle = flows.filter(|(_, flow)| flow.is_idle_long_flow_of(task.service));
        let longest = idle.min_by_key(|(_, flow)| flow.last_request);
        let idle = longest.map(|(id, _)| *id);
        match idle {
            Some(id) => {
                if let Some(flow) = self.callers.flows.get_mut(&id) {
                    flow.task = Some(task);
                    flow.last_request = now;
                }
                self.write_request(now, &id);
            }
            None => {
                self.open(now, task.service, task.route, Some(task));
            }
        }
    }

    /// Retries a task where that is allowed and time and attempts are left;
    /// otherwise records it as not served.
    pub(super) fn retry(&mut self, now: Duration, task: Task, may_retry: bool) {
        let deadline = self.topology.services[task.service].deadline;
        let in_time = now + RETRY_PAUSE < task.begun + deadline;
        if !may_retry || task.attempt >= MAX_ATTEMPTS || !in_time {
            self.checker.count("tasks given up");
            return self.callers.outcomes.push((task.begun, false));
        }
        let attempt = task.attempt + 1;
        self.callers
            .retries
            .push((now + RETRY_PAUSE, Task { attempt, ..task }));
    }

    /// Returns whether the callers of a task may repeat it after it has run.
    #[must_use]
    pub fn is_idempotent(&self, task: TaskId) -> bool {
        let service = self.callers.services.get(&task);
        service.is_some_and(|service| self.topology.services[*service].is_idempotent)
    }
}
