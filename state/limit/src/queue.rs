//! Queue of the jobs of one class that wait for a slot.
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::Job;
use crate::JobId;

/// Order in which queued jobs start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Discipline {
    /// First in, first out.
    Fifo,
    /// Earliest deadline first.
    #[default]
    EarliestDeadline,
}

/// Sort key of a queued job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Duration,
    sequence: u64,
}

/// The queued jobs of one class.
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

    /// Returns the number of queued jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns true if no job is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns true if the job with the given id is queued.
    #[must_use]
    pub fn contains(&self, id: JobId) -> bool {
        self.ranks.contains_key(&id)
    }

    /// Returns the number of queued jobs that would start before a new job with
    /// the given deadline.
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

    /// Removes and returns the next job in the order of the discipline.
    pub fn pop(&mut self) -> Option<Job> {
        let (rank, job) = self.jobs.pop_first()?;
        self.remove_from_indexes(rank, job);
        Some(job)
    }

    /// Removes and returns the job with the given id.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let rank = *self.ranks.get(&id)?;
        let job = self.jobs.remove(&rank)?;
        self.remove_from_indexes(rank, job);
        Some(job)
    }

    /// Removes and returns a job whose deadline is at or before the given time.
    pub fn pop_due(&mut self, time: Duration) -> Option<Job> {
        let due = self.first_deadline().filter(|&deadline| deadline <= time);
        due.and_then(|_| self.deadlines.first_key_value())
            .map(|(_, &id)| id)
            .and_then(|id| self.remove(id))
    }

    /// Returns the earliest deadline of all queued jobs.
    #[must_use]
    pub fn first_deadline(&self) -> Option<Duration> {
        self.deadlines
            .first_key_value()
            .map(|(rank, _)| rank.deadline)
    }

    fn remove_from_indexes(&mut self, rank: Rank, job: Job) {
        self.ranks.remove(&job.id);
        self.deadlines.remove(&Rank {
            deadline: job.deadline,
            sequence: rank.sequence,
        });
    }
}
