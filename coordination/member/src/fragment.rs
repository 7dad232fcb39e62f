//! Transfer of configurations that are too large for one datagram: offered by
//! revision, fetched by processes that lack them, and sent in fragments.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use wire::Revision;
use wire::ServiceAddress;
use wire::revision;

use crate::Service;

/// Largest body that is sent as part of a record, in bytes.
pub const MAX_INLINE_BYTES: usize = 900;

/// Largest number of fragments of one body.
const MAX_FRAGMENTS: usize = 512;

/// Largest number of configurations that are fetched at a time.
const MAX_ASSEMBLIES: usize = 16;

/// Time without a fragment after which the missing ones are requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of consecutive retries without a fragment.
const MAX_RETRIES: u32 = 20;

/// Configuration that the sender holds and does not push.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Address of the service.
    pub address: ServiceAddress,
    /// Revision of the configuration.
    #[serde_as(as = "revision::Compact")]
    pub revision: Revision,
}

/// Request for the fragments of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Offered configuration.
    pub offer: Offer,
    /// Indices of the fragments that the requester already holds.
    pub held: Vec<u16>,
}

/// Fragment of the configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Configuration that the fragment belongs to.
    pub offer: Offer,
    /// Index of the fragment, from 0.
    pub index: u16,
    /// Number of fragments of the body.
    pub count: u16,
    /// Bytes of the body in this fragment.
    pub bytes: Bytes,
}

/// Fetch and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// UDP address of the process that offered the configuration.
    pub to: SocketAddr,
    /// Fetch to send.
    pub fetch: Fetch,
}

/// Returns whether a configuration is offered instead of sent as part of a
/// record.
#[must_use]
pub const fn is_large(service: &Service) -> bool {
    service.body.len() > MAX_INLINE_BYTES
}

/// Returns the offer of a configuration.
#[must_use]
pub const fn offer(service: &Service) -> Offer {
    Offer {
        address: service.address,
        revision: service.revision,
    }
}

/// Returns the fragments that a fetch asks for. The body must not exceed 450
/// KB.
#[must_use]
pub fn split(service: &Service, fetch: &Fetch) -> Vec<Fragment> {
    let offer = offer(service);
    let chunks = service.body.chunks(MAX_INLINE_BYTES);
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let is_held = |index| offer == fetch.offer && fetch.held.contains(&index);
    let missing = (0..).zip(chunks).filter(|(index, _)| !is_held(*index));
    missing
        .map(|(index, chunk)| Fragment {
            offer,
            index,
            count,
            bytes: service.body.slice_ref(chunk),
        })
        .collect()
}

/// Configurations that are being fetched.
#[derive(Debug, Default)]
pub struct Assembler {
    assemblies: BTreeMap<ServiceAddress, Assembly>,
}

#[derive(Debug)]
struct Assembly {
    revision: Revision,
    from: SocketAddr,
    fragments: BTreeMap<u16, Bytes>,
    last_progress: Duration,
    retries: u32,
}

impl Assembly {
    fn request(&self, address: ServiceAddress) -> Request {
        let revision = self.revision;
        Request {
            to: self.from,
            fetch: Fetch {
                offer: Offer { address, revision },
                held: self.fragments.keys().copied().collect(),
            },
        }
    }
}

impl Assembler {
    /// Starts to fetch an offered configuration. Returns the request, or `None`
    /// if the same or a newer revision is being fetched, or too many
    /// services are.
    pub fn start(&mut self, now: Duration, from: SocketAddr, offer: Offer) -> Option<Request> {
        let Offer { address, revision } = offer;
        let held = self.assemblies.get(&address);
        let is_begun = held.is_some_and(|held| held.revision >= revision);
        let is_full = held.is_none() && self.assemblies.len() >= MAX_ASSEMBLIES;
        if is_begun || is_full {
            return None;
        }
        let assembly = Assembly {
            revision,
            from,
            fragments: BTreeMap::new(),
            last_progress: now,
            retries: 0,
        };
        let request = assembly.request(address);
        self.assemblies.insert(address, assembly);
        Some(request)
    }

    /// Adds a fragment; returns the configuration once it is complete.
    pub fn add_fragment(&mut self, now: Duration, fragment: Fragment) -> Option<Service> {
        let Offer { address, revision } = fragment.offer;
        let count = usize::from(fragment.count);
        let assembly = self.assemblies.get_mut(&address)?;
        if count > MAX_FRAGMENTS || fragment.index >= fragment.count {
            return None;
        }
        // The sender may have moved on to a newer revision.
        match assembly.revision {
            wanted if wanted > revision => return None,
            wanted if wanted < revision => {
                assembly.revision = revision;
                assembly.fragments.clear();
            }
            _ => {}
        }
        assembly.last_progress = now;
        assembly.retries = 0;
        assembly.fragments.insert(fragment.index, fragment.bytes);
        if assembly.fragments.len() < count {
            return None;
        }
        let assembly = self.assemblies.remove(&address)?;
        Some(Service {
            address,
            revision,
            body: assembly.fragments.into_values().flatten().collect(),
        })
    }

    /// Returns the requests that are due again; ends a fetch after its last
    /// retry.
    pub fn retry_overdue(&mut self, now: Duration) -> Vec<Request> {
        let mut requests = Vec::new();
        for (address, assembly) in &mut self.assemblies {
            if now >= assembly.last_progress + RETRY_INTERVAL {
                assembly.last_progress = now;
                assembly.retries += 1;
                requests.push(assembly.request(*address));
            }
        }
        self.assemblies
            .retain(|_, assembly| assembly.retries <= MAX_RETRIES);
        requests
    }
}
