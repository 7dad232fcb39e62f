//! Targets of one service, in the order of their ids.
use std::iter::Map;
use std::ops::Index;
use std::slice;

use wire::TargetId;

use crate::view::Member;

/// Divisor of the length that gives the growth of the storage.
const GROWTH: usize = 8;

/// Targets of one service, in the order of their ids. Stored contiguously and
/// with little spare capacity, since there is one of these for each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    members: Vec<Member>,
}

impl Targets {
    /// Creates an empty collection.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            members: Vec::new(),
        }
    }

    /// Returns all targets.
    pub fn values(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Returns all targets with their ids.
    pub fn iter(&self) -> Iter<'_> {
        let entry: fn(&Member) -> (&TargetId, &Member) = |member| (&member.target.id, member);
        self.members.iter().map(entry)
    }

    /// Returns the target with this id.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Member> {
        let at = self.position(*id).ok()?;
        self.members.get(at)
    }

    /// Returns the number of targets.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there are no targets.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the targets with ids from `first` to `last`.
    pub(crate) fn range(&self, first: TargetId, last: TargetId) -> &[Member] {
        let members = &self.members;
        let start = members.partition_point(|member| member.target.id < first);
        let end = members.partition_point(|member| member.target.id <= last);
        &members[start..end]
    }

    /// Inserts a target, in place of the one with the same id if there is one.
    pub(crate) fn insert(&mut self, member: Member) {
        match self.position(member.target.id) {
            Ok(at) => self.members[at] = member,
            Err(at) => {
                if self.members.len() == self.members.capacity() {
                    self.members.reserve_exact(self.members.len() / GROWTH + 1);
                }
                self.members.insert(at, member);
            }
        }
    }

    /// Removes a target and returns it.
    pub(crate) fn remove(&mut self, id: TargetId) -> Option<Member> {
        let at = self.position(id).ok()?;
        Some(self.members.remove(at))
    }

    fn position(&self, id: TargetId) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&id, |member| member.target.id)
    }
}

/// Iterator over targets with their ids, as over a map.
pub type Iter<'a> = Map<slice::Iter<'a, Member>, fn(&'a Member) -> (&'a TargetId, &'a Member)>;

impl<'a> IntoIterator for &'a Targets {
    type Item = (&'a TargetId, &'a Member);
    type IntoIter = Iter<'a>;

    fn into_iter(self) -> Iter<'a> {
        self.iter()
    }
}

impl Index<&TargetId> for Targets {
    type Output = Member;

    /// Returns the target with this id.
    ///
    /// # Panics
    ///
    /// Panics if there is no target with this id.
    fn index(&self, id: &TargetId) -> &Member {
        self.get(id).expect("no target with this id")
    }
}
