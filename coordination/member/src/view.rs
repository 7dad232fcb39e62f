//! What is known of one service.
use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use wire::ServiceAddress;
use wire::Target;
use wire::TargetId;

use crate::Service;
use crate::digest;
use crate::digest::Digest;

/// A service: its configuration and its targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Address that callers send to.
    pub address: ServiceAddress,
    /// The configuration, once it is known.
    pub config: Option<Service>,
    /// Every target, including draining, silent and departed ones.
    pub targets: BTreeMap<TargetId, Member>,
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
            targets: BTreeMap::new(),
            digest: 0,
        }
    }

    /// Digest of the configuration and of all targets with their health.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// Takes the configuration where it is newer; true where it was.
    pub(crate) fn merge_config(&mut self, config: Service) -> bool {
        if self
            .config
            .as_ref()
            .is_some_and(|held| held.revision >= config.revision)
        {
            return false;
        }
        self.replace(config_digest(self.config.as_ref()), digest::item(&config));
        self.config = Some(config);
        true
    }

    /// Takes the announcement of a target where it is newer; true where it was.
    pub(crate) fn merge_target(&mut self, target: Target) -> bool {
        let health = match self.targets.get(&target.id) {
            Some(held) if held.target.stamp() >= target.stamp() => return false,
            Some(held) if held.target.incarnation == target.incarnation => held.health,
            _ => Health::Up,
        };
        self.put_member(Member { target, health });
        true
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

    /// Puts a member in place of the one with the same target id.
    pub(crate) fn put_member(&mut self, member: Member) {
        let old = self.targets.get(&member.target.id).map_or(0, digest::item);
        self.replace(old, digest::item(&member));
        self.targets.insert(member.target.id, member);
    }

    fn replace(&mut self, old: Digest, new: Digest) {
        self.digest = self.digest.wrapping_sub(old).wrapping_add(new);
    }
}

fn config_digest(config: Option<&Service>) -> Digest {
    config.map_or(0, digest::item)
}
