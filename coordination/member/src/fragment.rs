//! Configurations that are too large for a datagram: offered by revision,
//! fetched by who lacks them, and sent in fragments.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use wire::Revision;
use wire::ServiceAddress;

use crate::Service;

/// Largest body that is sent as part of a record, in bytes.
pub const MAX_INLINE_BYTES: usize = 900;

/// Largest number of fragments of one body.
const MAX_FRAGMENTS: usize = 512;

/// Configurations that are fetched at a time.
const MAX_ASSEMBLIES: usize = 16;

/// Time without a fragment after which the missing ones are fetched again.
const RETRY: Duration = Duration::from_millis(500);

/// Times that fragments are fetched again without any that arrived.
const MAX_RETRIES: u32 = 20;

/// Names a configuration that the sender holds and does not push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Address of the service.
    pub address: ServiceAddress,
    /// Revision of the configuration.
    pub revision: Revision,
}

/// Asks for the fragments of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// What was offered.
    pub offer: Offer,
    /// Positions of the fragments that the receiver holds already.
    pub held: Vec<u16>,
}

/// Part of the configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// The configuration.
    pub offer: Offer,
    /// Position of this part, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// This part of the body.
    pub bytes: Bytes,
}

/// A fetch and whom to send it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// UDP address of the one that offered.
    pub to: SocketAddr,
    /// What to ask for.
    pub fetch: Fetch,
}

/// True where a configuration is offered, and not part of a record.
#[must_use]
pub const fn is_large(service: &Service) -> bool {
    service.body.len() > MAX_INLINE_BYTES
}

/// Names a configuration.
#[must_use]
pub const fn offer(service: &Service) -> Offer {
    Offer {
        address: service.address,
        revision: service.revision,
    }
}

/// Splits a configuration into the fragments that a fetch asks for; the body
/// must not exceed 450 KB.
#[must_use]
pub fn split(service: &Service, fetch: &Fetch) -> Vec<Fragment> {
    let offer = offer(service);
    let chunks = service.body.chunks(MAX_INLINE_BYTES);
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let is_held = |index| offer == fetch.offer && fetch.held.contains(&index);
    let parts = (0..).zip(chunks).filter(|(index, _)| !is_held(*index));
    parts
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
    parts: BTreeMap<u16, Bytes>,
    progress: Duration,
    retries: u32,
}

impl Assembly {
    fn request(&self, address: ServiceAddress) -> Request {
        let revision = self.revision;
        Request {
            to: self.from,
            fetch: Fetch {
                offer: Offer { address, revision },
                held: self.parts.keys().copied().collect(),
            },
        }
    }
}

impl Assembler {
    /// Begins to fetch what `from` offers, where it is not being fetched.
    pub fn begin(&mut self, now: Duration, from: SocketAddr, offer: Offer) -> Option<Request> {
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
            parts: BTreeMap::new(),
            progress: now,
            retries: 0,
        };
        let request = assembly.request(address);
        self.assemblies.insert(address, assembly);
        Some(request)
    }

    /// Takes a part that was asked for; the configuration once it is complete.
    pub fn take(&mut self, now: Duration, fragment: Fragment) -> Option<Service> {
        let Offer { address, revision } = fragment.offer;
        let count = usize::from(fragment.count);
        let assembly = self.assemblies.get_mut(&address)?;
        if count > MAX_FRAGMENTS || fragment.index >= fragment.count {
            return None;
        }
        // The sender may have gone on to a newer revision.
        match assembly.revision {
            wanted if wanted > revision => return None,
            wanted if wanted < revision => {
                assembly.revision = revision;
                assembly.parts.clear();
            }
            _ => {}
        }
        assembly.progress = now;
        assembly.retries = 0;
        assembly.parts.insert(fragment.index, fragment.bytes);
        if assembly.parts.len() < count {
            return None;
        }
        let assembly = self.assemblies.remove(&address)?;
        Some(Service {
            address,
            revision,
            body: assembly.parts.into_values().flatten().collect(),
        })
    }

    /// Asks again for what did not arrive, a bounded number of times.
    pub fn overdue(&mut self, now: Duration) -> Vec<Request> {
        let mut requests = Vec::new();
        for (address, assembly) in &mut self.assemblies {
            if now >= assembly.progress + RETRY {
                assembly.progress = now;
                assembly.retries += 1;
                requests.push(assembly.request(*address));
            }
        }
        self.assemblies
            .retain(|_, assembly| assembly.retries <= MAX_RETRIES);
        requests
    }
}
