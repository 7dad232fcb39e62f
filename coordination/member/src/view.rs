//! View of one service: its configuration and its targets.
use serde::Deserialize;
use serde::Serialize;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;
use wire::target::State;

use crate::Refusal;
use crate::Service;
use crate::digest;
use crate::digest::Digest;
use crate::targets::Targets;

/// Number of parts into which the targets of a view are divided, by the upper
/// bits of their ids.
pub const PARTS: usize = 64;

const PART_BITS: u32 = PARTS.ilog2();

/// Configuration and targets of a service, as one process knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Address that callers send to.
    pub address: ServiceAddress,
    /// Configuration, once it is known.
    pub config: Option<Service>,
    /// All targets, including draining, silent and departed ones.
    pub targets: Targets,
    digest: Digest,
}

/// Target and its health.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Target as it last announced itself.
    pub target: Target,
    /// Health according to the watchers of the target.
    pub health: Health,
}

/// Health of a target, according to its watchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Its watchers receive its heartbeats.
    Up,
    /// Its watchers do not receive its heartbeats, but too many targets of the
    /// service are silent for all of them to have failed. For use if no
    /// other target is up.
    Doubted,
    /// Its watchers do not receive its heartbeats.
    Down,
}

impl View {
    /// Creates a view without a configuration and targets.
    #[must_use]
    pub const fn new(address: ServiceAddress) -> Self {
        Self {
            address,
            config: None,
            targets: Targets::new(),
            digest: 0,
        }
    }

    /// Returns the digest of the configuration and of all targets with their
    /// health.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the digests of the parts of the targets, then that of the
    /// configuration.
    pub(crate) fn parts(&self) -> Vec<Digest> {
        let mut parts = vec![0; PARTS];
        for member in self.targets.values() {
            let part = &mut parts[part(member.target.id)];
            *part = digest::of(member).wrapping_add(*part);
        }
        parts.push(config_digest(self.config.as_ref()));
        parts
    }

    /// Returns the targets of one part.
    pub(crate) fn part(&self, number: usize) -> &[Member] {
        if number >= PARTS {
            return &[];
        }
        let first = (number as TargetId) << (TargetId::BITS - PART_BITS);
        self.targets
            .range(first, first | (TargetId::MAX >> PART_BITS))
    }

    /// Merges a configuration if it is newer.
    pub(crate) fn merge_config(&mut self, config: Service) -> Result<(), Refusal> {
        let held = self.config.as_ref();
        if held.is_some_and(|held| held.revision >= config.revision) {
            return Err(Refusal::Stale);
        }
        self.replace_digest(config_digest(held), digest::of(&config));
        self.config = Some(config);
        Ok(())
    }

    /// Merges the announcement of a target if it is newer.
    pub(crate) fn merge_target(&mut self, target: Target) -> Result<(), Refusal> {
        let health = match self.targets.get(&target.id) {
            Some(held) if held.target.incarnation > target.incarnation => {
                return Err(Refusal::OldIncarnation);
            }
            Some(held) if held.target.stamp() >= target.stamp() => return Err(Refusal::Stale),
            Some(held) if held.target.incarnation == target.incarnation => held.health,
            _ => Health::Up,
        };
        self.set_member(Member { target, health });
        Ok(())
    }

    /// Sets the health of a target; returns whether it changed.
    pub(crate) fn set_health(&mut self, id: TargetId, health: Health) -> bool {
        let Some(held) = self.targets.get(&id).filter(|held| held.health != health) else {
            return false;
        };
        let target = held.target.clone();
        self.set_member(Member { target, health });
        true
    }

    /// Removes a target; returns whether it was held.
    pub(crate) fn remove(&mut self, id: TargetId) -> bool {
        let Some(member) = self.targets.remove(id) else {
            return false;
        };
        self.replace_digest(digest::of(&member), 0);
        true
    }

    /// Updates the health of all targets, given which are silent. Returns the
    /// targets whose health changed.
    ///
    /// At most half of the ready targets are marked down for silence. If more
    /// are silent, the observers are more likely at fault than the targets, and
    /// all silent ones become [`Health::Doubted`].
    pub(crate) fn update_health(&mut self, is_silent: impl Fn(&Target) -> bool) -> Vec<TargetId> {
        let mut ready = 0;
        let mut silent_ready = 0;
        let mut silent = Vec::new();
        for member in self.targets.values() {
            let is_ready = member.target.state == State::Ready;
            ready += usize::from(is_ready);
            if is_silent(&member.target) {
                silent_ready += usize::from(is_ready);
                silent.push(member.target.id);
            }
        }
        let verdict = if silent_ready * 2 > ready {
            Health::Doubted
        } else {
            Health::Down
        };
        let health = |id| match silent.binary_search(&id) {
            Ok(_) => verdict,
            Err(_) => Health::Up,
        };
        let ids: Vec<TargetId> = self
            .targets
            .values()
            .map(|member| member.target.id)
            .collect();
        ids.into_iter()
            .filter(|id| self.set_health(*id, health(*id)))
            .collect()
    }

    /// Inserts a member in place of the one with the same target id, even if
    /// that one is newer.
    pub fn set_member(&mut self, member: Member) {
        let old = self.targets.get(&member.target.id).map_or(0, digest::of);
        self.replace_digest(old, digest::of(&member));
        self.targets.insert(member);
    }

    fn replace_digest(&mut self, old: Digest, new: Digest) {
        self.digest = self.digest.wrapping_sub(old).wrapping_add(new);
    }
}

/// Returns the number of the part that a target belongs to.
pub(crate) fn part(id: TargetId) -> usize {
    usize::try_from(id >> (TargetId::BITS - PART_BITS)).unwrap_or(0)
}

fn config_digest(config: Option<&Service>) -> Digest {
    config.map_or(0, digest::of)
}
