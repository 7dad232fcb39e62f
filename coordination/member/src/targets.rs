//! The targets of one service, in the order of their ids.
use std::iter::Map;
use std::ops::Index;
use std::slice;

use wire::TargetId;

use crate::view::Member;

/// Share of the length, as a divisor, by which the storage grows.
const GROWTH: usize = 8;

/// The targets of one service, in the order of their ids. Held in one piece,
/// since there is one of these for each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    members: Vec<Member>,
}

impl Targets {
    /// Nothing yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            members: Vec::new(),
        }
    }

    /// All targets.
    pub fn values(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// All targets with their ids.
    pub fn iter(&self) -> Iter<'_> {
        let entry: fn(&Member) -> (&TargetId, &Member) = |member| (&member.target.id, member);
        self.members.iter().map(entry)
    }

    /// The target with this id.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Member> {
        let at = self.position(*id).ok()?;
        self.members.get(at)
    }

    /// Number of targets.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.members.len()
    }

    /// True where there is none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The targets with ids from `first` to `last`.
    pub(crate) fn range(&self, first: TargetId, last: TargetId) -> &[Member] {
        let members = &self.members;
        let start = members.partition_point(|member| member.target.id < first);
        let end = members.partition_point(|member| member.target.id <= last);
        &members[start..end]
    }

    /// Puts a target in the place of the one with the same id, if any.
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

    /// Takes a target out.
    pub(crate) fn remove(&mut self, id: TargetId) -> Option<Member> {
        let at = self.position(id).ok()?;
        Some(self.members.remove(at))
    }

    fn position(&self, id: TargetId) -> Result<usize, usize> {
        self.members
            .binary_search_by_key(&id, |member| member.target.id)
    }
}

/// Iterates over targets with their ids, as over a map.
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

    /// The target with this id.
    ///
    /// # Panics
    ///
    /// Where there is none.
    fn index(&self, id: &TargetId) -> &Member {
        self.get(id).expect("no target with this id")
    }
}
