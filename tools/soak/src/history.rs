//! Configurations that were written, and the routes that each allows.
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Routes of a configuration: the index of the service of each address.
pub type Routes = BTreeMap<SocketAddrV4, usize>;

/// A configuration, with the time at which it was written.
#[derive(Clone, Debug)]
struct Version {
    at: Duration,
    routes: Routes,
}

/// Configurations that were written, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    versions: Vec<Version>,
    last_version: u64,
}

impl History {
    /// Creates a history whose versions are larger than `version`.
    #[must_use]
    pub const fn after(version: u64) -> Self {
        Self {
            versions: Vec::new(),
            last_version: version,
        }
    }

    /// Records a configuration that is about to be written, and returns its
    /// version.
    pub fn record(&mut self, random: &mut fastrand::Rng, at: Duration, routes: Routes) -> u64 {
        self.versions.push(Version { at, routes });
        self.last_version += random.u64(1..9);
        self.last_version
    }

    /// Returns the routes of the newest configuration.
    #[must_use]
    pub fn newest(&self) -> Routes {
        let newest = self.versions.last();
        newest
            .map(|version| version.routes.clone())
            .unwrap_or_default()
    }

    /// Returns whether any configuration so far routes an address to a service.
    #[must_use]
    pub fn has_ever_routed(&self, address: SocketAddrV4, service: usize) -> bool {
        let versions = self.versions.iter();
        versions
            .map(|version| version.routes.get(&address))
            .any(|found| found == Some(&service))
    }

    /// Returns whether a configuration that may be in force for packets sent at
    /// `sent` routes an address to a service. A configuration may stay in force
    /// until `bound` after a newer one was written.
    #[must_use]
    pub fn allows(
        &self,
        sent: Duration,
        bound: Duration,
        address: SocketAddrV4,
        service: usize,
    ) -> bool {
        // Skips configurations that a newer one replaced more than `bound`
        // before `sent`.
        let newer = self.versions.iter().skip(1).map(|version| version.at);
        let newer = newer.map(Some).chain([None]);
        self.versions
            .iter()
            .zip(newer)
            .filter(|(_, newer)| newer.is_none_or(|newer| sent <= newer + bound))
            .any(|(version, _)| version.routes.get(&address) == Some(&service))
    }
}
