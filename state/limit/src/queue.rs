//! The jobs of one class that wait for a slot.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::Job;
use crate::JobId;

/// The sequence in which waiting jobs get their slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Discipline {
    /// The job that was offered first.
    Fifo,
    /// The job with the earliest deadline.
    #[default]
    EarliestDeadline,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Duration,
    sequence: u64,
}

/// The jobs of one class that wait for a slot.
#[derive(Debug, Default)]
pub struct Queue {
    discipline: Discipline,
    sequence: u64,
    jobs: BTreeMap<Rank, Job>,
    ranks: HashMap<JobId, Rank>,
    deadlines: BTreeMap<Rank, JobId>,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            ..Self::default()
        }
    }

    /// Number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether a job waits.
    #[must_use]
    pub fn contains(&self, id: JobId) -> bool {
        self.ranks.contains_key(&id)
    }

    /// Number of jobs that would get a slot before a job of this deadline.
    #[must_use]
    pub fn ahead(&self, deadline: Duration) -> usize {
        match self.discipline {
            Discipline::Fifo => self.jobs.len(),
            Discipline::EarliestDeadline => {
                let rank = Rank {
                    deadline,
                    sequence: u64::MAX,
                };
                self.jobs.range(..rank).count()
            }
        }
    }

    /// Adds a job.
    pub fn push(&mut self, job: Job) {
        self.sequence += 1;
        let due = Rank {
            deadline: job.deadline,
            sequence: self.sequence,
        };
        let rank = match self.discipline {
            Discipline::Fifo => Rank {
                deadline: Duration::ZERO,
                ..due
            },
            Discipline::EarliestDeadline => due,
        };
        self.jobs.insert(rank, job);
        self.ranks.insert(job.id, rank);
        self.deadlines.insert(due, job.id);
    }

    /// Removes the job whose turn it is.
    pub fn pop(&mut self) -> Option<Job> {
        let (rank, job) = self.jobs.pop_first()?;
        self.forget(rank, job);
        Some(job)
    }

    /// Removes a job.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let rank = *self.ranks.get(&id)?;
        let job = self.jobs.remove(&rank)?;
        self.forget(rank, job);
        Some(job)
    }

    /// Removes a job whose deadline is not after the given time.
    pub fn pop_due(&mut self, time: Duration) -> Option<Job> {
        let due = self.first_deadline().filter(|&deadline| deadline <= time);
        due.and_then(|_| self.deadlines.first_key_value())
            .map(|(_, &id)| id)
            .and_then(|id| self.remove(id))
    }

    /// The earliest deadline of all jobs.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Duration> {
        self.deadlines
            .first_key_value()
            .map(|(rank, _)| rank.deadline)
    }

    fn forget(&mut self, rank: Rank, job: Job) {
        self.ranks.remove(&job.id);
        self.deadlines.remove(&Rank {
            deadline: job.deadline,
            sequence: rank.sequence,
        });
    }
}
