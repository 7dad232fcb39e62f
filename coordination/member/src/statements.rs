//! Statements of watchers, and whether a majority suspects a process.
//!
//! The statement with the largest heartbeat number names the watchers of a
//! process; statements of other entries are not kept. The kept statements
//! therefore do not depend on the order of arrival.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Refusal;
use crate::message::Sequence;
use crate::record::Statement;
use crate::record::SubjectId;

/// Statements by the process that they are about.
#[derive(Debug, Default)]
pub struct Statements {
    subjects: BTreeMap<SubjectId, Vec<Statement>>,
}

impl Statements {
    /// Merges a statement if it is newer; returns the statements that it
    /// replaces.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stale`], or [`Refusal::NotWatcher`] if its observer is not
    /// a watcher of the process.
    pub fn merge(&mut self, new: Statement) -> Result<Vec<Statement>, Refusal> {
        if !new.watchers.contains(&new.observer) {
            return Err(Refusal::NotWatcher);
        }
        let subject = new.subject;
        match (self.get(subject, new.observer), self.latest(subject)) {
            (Some(held), _) if held.position() >= new.position() => return Err(Refusal::Stale),
            (_, Some(latest))
                if latest.sequence >= new.sequence && !latest.watchers.contains(&new.observer) =>
            {
                return Err(Refusal::NotWatcher);
            }
            _ => {}
        }
        let observer = new.observer;
        let held = self.subjects.entry(subject).or_default();
        held.push(new);
        let Some(watchers) = latest(held).map(|latest| latest.watchers.clone()) else {
            return Ok(Vec::new());
        };
        let newest = held.len() - 1;
        let mut replaced = Vec::new();
        let mut kept = Vec::new();
        for (at, statement) in held.drain(..).enumerate() {
            let is_old = at < newest && statement.observer == observer;
            if is_old || !watchers.contains(&statement.observer) {
                replaced.push(statement);
            } else {
                kept.push(statement);
            }
        }
        *held = kept;
        Ok(replaced)
    }

    /// Returns the statement of one watcher.
    #[must_use]
    pub fn get(&self, subject: SubjectId, observer: SocketAddr) -> Option<&Statement> {
        let held = self.subjects.get(&subject)?;
        held.iter().find(|held| held.observer == observer)
    }

    /// Returns the statement that names the current watchers.
    #[must_use]
    pub fn latest(&self, subject: SubjectId) -> Option<&Statement> {
        latest(self.subjects.get(&subject)?)
    }

    /// Returns the number of the last heartbeat after which some watcher
    /// suspects the process.
    #[must_use]
    pub fn suspected_after(&self, subject: SubjectId) -> Option<Sequence> {
        let held = self.subjects.get(&subject)?.iter();
        let silent = held.filter(|held| held.silent);
        silent.map(|held| held.sequence).max()
    }

    /// Returns whether a majority suspects the process. Watchers that suspect
    /// it count against it. Running watchers that stated to have heard a later
    /// heartbeat count for it, and so do the other running watchers as long as
    /// `may_answer` is true.
    #[must_use]
    pub fn is_silent(
        &self,
        subject: SubjectId,
        may_answer: bool,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> bool {
        let (Some(latest), Some(suspected)) = (self.latest(subject), self.suspected_after(subject))
        else {
            return false;
        };
        let mut suspecting = 0;
        let mut supporting = 0;
        for watcher in latest.watchers.iter().copied() {
            match self.get(subject, watcher) {
                Some(held) if held.silent => suspecting += 1,
                Some(held) if held.sequence > suspected && is_live(watcher) => supporting += 1,
                _ if may_answer && is_live(watcher) => supporting += 1,
                _ => {}
            }
        }
        suspecting > supporting
    }

    /// Removes all statements about a process and returns them.
    pub fn remove(&mut self, subject: SubjectId) -> Vec<Statement> {
        self.subjects.remove(&subject).unwrap_or_default()
    }

    /// Returns the processes that statements are about.
    pub fn subjects(&self) -> impl Iterator<Item = SubjectId> {
        self.subjects.keys().copied()
    }
}

fn latest(statements: &[Statement]) -> Option<&Statement> {
    statements.iter().max_by_key(|held| held.sequence)
}
