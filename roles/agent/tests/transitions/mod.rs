//! What happens in a trial, as `proptest` draws it.
#![allow(missing_docs)]
use proptest::prelude::*;

pub const AGENTS: usize = 3;
pub const FLOWS: u64 = 2;
pub const REQUESTS: u64 = 4;

/// Requests from this id on are idempotent.
pub const FIRST_IDEMPOTENT: u64 = 4;

#[derive(Clone, Copy, Debug)]
pub enum Transition {
    Open {
        flow: u64,
        agent: usize,
    },
    Request {
        flow: u64,
        request: u64,
        token: usize,
        agent: usize,
        deadline_ms: u32,
    },
    Cancel {
        flow: u64,
        request: u64,
        agent: usize,
    },
    Close {
        flow: u64,
        agent: usize,
    },
    Deliver(usize),
    DeliverAll,
    Duplicate(usize),
    Lose(usize),
    Finish {
        job: usize,
        result: JobResult,
    },
    Wait {
        millis: u64,
    },
    /// Restarts an agent that has exited, or else this one.
    Restart(usize),
    Replace(usize),
    /// Replaces an agent and starts its successor; the message of this number
    /// on the way is lost.
    ReplaceAndRestart {
        agent: usize,
        lost: usize,
    },
    Stop(usize),
    Drain(usize),
    Resume(usize),
    View {
        agent: usize,
        without: usize,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum JobResult {
    Completed,
    Shed,
    NotRun,
    Failed,
}

pub fn job_result() -> impl Strategy<Value = JobResult> {
    prop_oneof![
        4 => Just(JobResult::Completed),
        1 => Just(JobResult::Shed),
        1 => Just(JobResult::NotRun),
        1 => Just(JobResult::Failed),
    ]
}

pub fn request() -> impl Strategy<Value = Transition> {
    (1..=FLOWS, 1..=REQUESTS, 0..4_usize, 0..AGENTS, 1..4_000_u32).prop_map(
        |(flow, request, token, agent, deadline_ms)| Transition::Request {
            flow,
            request,
            token,
            agent,
            deadline_ms,
        },
    )
}

pub fn transition() -> impl Strategy<Value = Transition> {
    prop_oneof![
        4 => (1..=FLOWS, 0..AGENTS).prop_map(|(flow, agent)| Transition::Open { flow, agent }),
        12 => request(),
        1 => (1..=FLOWS, 1..=REQUESTS, 0..AGENTS)
            .prop_map(|(flow, request, agent)| Transition::Cancel { flow, request, agent }),
        1 => (1..=FLOWS, 0..AGENTS).prop_map(|(flow, agent)| Transition::Close { flow, agent }),
        10 => any::<usize>().prop_map(Transition::Deliver),
        6 => Just(Transition::DeliverAll),
        3 => any::<usize>().prop_map(Transition::Duplicate),
        2 => any::<usize>().prop_map(Transition::Lose),
        8 => (any::<usize>(), job_result()).prop_map(|(job, result)| Transition::Finish { job, result }),
        4 => (1..800_u64).prop_map(|millis| Transition::Wait { millis }),
        2 => (0..AGENTS).prop_map(Transition::Restart),
        2 => (0..AGENTS).prop_map(Transition::Replace),
        2 => (0..AGENTS, 0..20_usize)
            .prop_map(|(agent, lost)| Transition::ReplaceAndRestart { agent, lost }),
        1 => (0..AGENTS).prop_map(Transition::Stop),
        1 => (0..AGENTS).prop_map(Transition::Drain),
        1 => (0..AGENTS).prop_map(Transition::Resume),
        2 => (0..AGENTS, 0..AGENTS).prop_map(|(agent, without)| Transition::View { agent, without }),
    ]
}
