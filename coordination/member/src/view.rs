//! What is known of one service.
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

/// Parts into which the targets of a view fall, by the upper bits of their id.
pub const PARTS: usize = 64;

const PART_BITS: u32 = PARTS.ilog2();

/// A service: its configuration and its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Address that callers send to.
    pub address: ServiceAddress,
    /// The configuration, once it is known.
    pub config: Option<Service>,
    /// Every target, including draining, silent and departed ones.
    pub targets: Targets,
    digest: Digest,
}

/// A target and what its watchers say of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The target, as it last announced itself.
    pub target: Target,
    /// Whether it is held to be running.
    pub health: Health,
}

/// Whether a target is held to be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Its watchers hear from it.
    Up,
    /// Its watchers do not hear from it, but too many targets of the service
    /// are silent for that to be believed. To be used where no other is up.
    Doubted,
    /// Its watchers do not hear from it.
    Down,
}

impl View {
    /// A service of which nothing is known yet.
    #[must_use]
    pub const fn new(address: ServiceAddress) -> Self {
        Self {
            address,
            config: None,
            targets: Targets::new(),
            digest: 0,
        }
    }

    /// Digest of the configuration and of all targets with their health.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Digests of the parts of the targets, then that of the configuration.
    pub(crate) fn parts(&self) -> Vec<Digest> {
        let mut parts = vec![0; PARTS];
        for member in self.targets.values() {
            let part = &mut parts[part(member.target.id)];
            *part = digest::item(member).wrapping_add(*part);
        }
        parts.push(config_digest(self.config.as_ref()));
        parts
    }

    /// The targets of one part.
    pub(crate) fn part(&self, number: usize) -> &[Member] {
        if number >= PARTS {
            return &[];
        }
        let first = (number as TargetId) << (TargetId::BITS - PART_BITS);
        self.targets
            .range(first, first | (TargetId::MAX >> PART_BITS))
    }

    /// Takes the configuration where it is newer.
    pub(crate) fn merge_config(&mut self, config: Service) -> Result<(), Refusal> {
        let held = self.config.as_ref();
        if held.is_some_and(|held| held.revision >= config.revision) {
            return Err(Refusal::Stale);
        }
        self.replace(config_digest(held), digest::item(&config));
        self.config = Some(config);
        Ok(())
    }

    /// Takes the announcement of a target where it is newer.
    pub(crate) fn merge_target(&mut self, target: Target) -> Result<(), Refusal> {
        let health = match self.targets.get(&target.id) {
            Some(held) if held.target.incarnation > target.incarnation => {
                return Err(Refusal::OldIncarnation);
            }
            Some(held) if held.target.stamp() >= target.stamp() => return Err(Refusal::Stale),
            Some(held) if held.target.incarnation == target.incarnation => held.health,
            _ => Health::Up,
        };
        self.put_member(Member { target, health });
        Ok(())
    }

    /// Sets the health of a target; true where it changed.
    pub(crate) fn set_health(&mut self, id: TargetId, health: Health) -> bool {
        let Some(held) = self.targets.get(&id).filter(|held| held.health != health) else {
            return false;
        };
        let target = held.target.clone();
        self.put_member(Member { target, health });
        true
    }

    /// Forgets a target; true where it was held.
    pub(crate) fn remove(&mut self, id: TargetId) -> bool {
        let Some(member) = self.targets.remove(id) else {
            return false;
        };
        self.replace(digest::item(&member), 0);
        true
    }

    /// Gives each target its health, from whether it is silent; the targets
    /// whose health changed.
    ///
    /// At most half of the ready targets are held down for silence. Where more
    /// are silent, the observers are in doubt rather than the targets.
    pub(crate) fn judge(&mut self, is_silent: impl Fn(&Target) -> bool) -> Vec<TargetId> {
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

    /// Puts a member in place of the one with the same target id, whichever is
    /// newer.
    pub fn put_member(&mut self, member: Member) {
        let old = self.targets.get(&member.target.id).map_or(0, digest::item);
        self.replace(old, digest::item(&member));
        self.targets.insert(member);
    }

    fn replace(&mut self, old: Digest, new: Digest) {
        self.digest = self.digest.wrapping_sub(old).wrapping_add(new);
    }
}

/// Number of the part that a target falls into.
pub(crate) fn part(id: TargetId) -> usize {
    usize::try_from(id >> (TargetId::BITS - PART_BITS)).unwrap_or(0)
}

fn config_digest(config: Option<&Service>) -> Digest {
    config.map_or(0, digest::item)
}
