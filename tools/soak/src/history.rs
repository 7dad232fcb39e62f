//! The configurations that were written, and what each allows.
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// A configuration: the service of each address.
pub type Routes = BTreeMap<SocketAddrV4, usize>;

/// A configuration that was written.
#[derive(Clone, Debug)]
struct Version {
    at: Duration,
    routes: Routes,
}

/// The configurations that were written, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    versions: Vec<Version>,
    last_version: u64,
}

impl History {
    /// Notes a configuration that the store has acknowledged; its version.
    pub fn record(&mut self, random: &mut fastrand::Rng, at: Duration, routes: Routes) -> u64 {
        self.versions.push(Version { at, routes });
        self.last_version += random.u64(1..9);
        self.last_version
    }

    /// The newest configuration.
    #[must_use]
    pub fn newest(&self) -> Routes {
        let newest = self.versions.last();
        newest
            .map(|version| version.routes.clone())
            .unwrap_or_default()
    }

    /// Whether any configuration so far leads an address to a service.
    #[must_use]
    pub fn has_ever_routed(&self, address: SocketAddrV4, service: usize) -> bool {
        let versions = self.versions.iter();
        versions
            .map(|version| version.routes.get(&address))
            .any(|found| found == Some(&service))
    }

    /// Whether a configuration that may be in force for packets sent at `sent`
    /// leads an address to a service.
    #[must_use]
    pub fn allows(
        &self,
        sent: Duration,
        bound: Duration,
        address: SocketAddrV4,
        service: usize,
    ) -> bool {
        // All but those which a newer one has replaced for long enough.
        let newer = self.versions.iter().skip(1).map(|version| version.at);
        let newer = newer.map(Some).chain([None]);
        self.versions
            .iter()
            .zip(newer)
            .filter(|(_, newer)| newer.is_none_or(|newer| sent <= newer + bound))
            .any(|(version, _)| version.routes.get(&address) == Some(&service))
    }
}
