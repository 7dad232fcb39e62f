//! The statements of watchers, and whether a majority suspects a process.
//!
//! The statement with the largest heartbeat number names the watchers of a
//! process; statements of others are not kept. So what is kept does not depend
//! on the order in which statements arrive.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::Refusal;
use crate::message::Sequence;
use crate::record::SubjectId;
use crate::record::Suspicion;

/// Statements by the process that they are about.
#[derive(Debug, Default)]
pub struct Statements {
    subjects: BTreeMap<SubjectId, Vec<Suspicion>>,
}

impl Statements {
    /// Takes a statement where it is newer; the statements that it replaces.
    ///
    /// # Errors
    ///
    /// [`Refusal::Stale`] or [`Refusal::NotWatcher`].
    pub fn merge(&mut self, new: Suspicion) -> Result<Vec<Suspicion>, Refusal> {
        if !new.watchers.contains(&new.observer) {
            return Err(Refusal::NotWatcher);
        }
        let subject = new.subject;
        match (self.get(subject, new.observer), self.governing(subject)) {
            (Some(held), _) if held.stamp() >= new.stamp() => return Err(Refusal::Stale),
            (_, Some(rule))
                if rule.sequence >= new.sequence && !rule.watchers.contains(&new.observer) =>
            {
                return Err(Refusal::NotWatcher);
            }
            _ => {}
        }
        let observer = new.observer;
        let held = self.subjects.entry(subject).or_default();
        held.push(new);
        let Some(watchers) = governing(held).map(|rule| rule.watchers.clone()) else {
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

    /// The statement of one watcher.
    #[must_use]
    pub fn get(&self, subject: SubjectId, observer: SocketAddr) -> Option<&Suspicion> {
        let held = self.subjects.get(&subject)?;
        held.iter().find(|held| held.observer == observer)
    }

    /// The statement that names the watchers.
    #[must_use]
    pub fn governing(&self, subject: SubjectId) -> Option<&Suspicion> {
        governing(self.subjects.get(&subject)?)
    }

    /// Last heartbeat after which some watcher suspects the process.
    #[must_use]
    pub fn suspected(&self, subject: SubjectId) -> Option<Sequence> {
        let held = self.subjects.get(&subject)?.iter();
        let silent = held.filter(|held| held.silent);
        silent.map(|held| held.sequence).max()
    }

    /// True where a majority suspects the process. Those count against it that
    /// suspect it, and for it the running watchers that stated to have heard a
    /// later heartbeat. While they may still do so, the other running watchers
    /// count for it too.
    #[must_use]
    pub fn is_silent(
        &self,
        subject: SubjectId,
        may_answer: bool,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> bool {
        let (Some(rule), Some(suspected)) = (self.governing(subject), self.suspected(subject))
        else {
            return false;
        };
        let mut against = 0;
        let mut others = 0;
        for watcher in rule.watchers.iter().copied() {
            match self.get(subject, watcher) {
                Some(held) if held.silent => against += 1,
                Some(held) if held.sequence > suspected && is_live(watcher) => others += 1,
                _ if may_answer && is_live(watcher) => others += 1,
                _ => {}
            }
        }
        against > others
    }

    /// Forgets all statements about a process.
    pub fn remove(&mut self, subject: SubjectId) -> Vec<Suspicion> {
        self.subjects.remove(&subject).unwrap_or_default()
    }

    /// The processes that statements are about.
    pub fn subjects(&self) -> impl Iterator<Item = SubjectId> {
        self.subjects.keys().copied()
    }
}

fn governing(statements: &[Suspicion]) -> Option<&Suspicion> {
    statements.iter().max_by_key(|held| held.sequence)
}
