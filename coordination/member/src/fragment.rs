//! Splits configurations that are too large for a datagram, and joins them.
use std::collections::BTreeMap;

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

/// Configurations that are joined at a time.
const MAX_ASSEMBLIES: usize = 16;

/// Part of the configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fragment {
    /// Address of the service.
    pub address: ServiceAddress,
    /// Revision of the configuration.
    pub revision: Revision,
    /// Position of this part, from 0.
    pub index: u16,
    /// Number of parts.
    pub count: u16,
    /// This part of the body.
    pub bytes: Bytes,
}

/// Splits a configuration; the body must not exceed 450 KB.
#[must_use]
pub fn split(service: &Service) -> Vec<Fragment> {
    let chunks = service.body.chunks(MAX_INLINE_BYTES);
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let parts = (0..).zip(chunks).map(|(index, chunk)| Fragment {
        address: service.address,
        revision: service.revision,
        index,
        count,
        bytes: service.body.slice_ref(chunk),
    });
    parts.collect()
}

/// Parts received of configurations that are not complete.
#[derive(Debug, Default)]
pub struct Assembler {
    assemblies: BTreeMap<ServiceAddress, Assembly>,
}

#[derive(Debug)]
struct Assembly {
    revision: Revision,
    count: u16,
    parts: BTreeMap<u16, Bytes>,
}

impl Assembler {
    /// Takes a part; the configuration once it is complete. Where too many are
    /// incomplete, one is given up, and repeated by its sender.
    pub fn take(&mut self, fragment: Fragment) -> Option<Service> {
        let Fragment {
            address, revision, ..
        } = fragment;
        let count = fragment.count;
        if usize::from(count) > MAX_FRAGMENTS || fragment.index >= count {
            return None;
        }
        if self.assemblies.len() >= MAX_ASSEMBLIES && !self.assemblies.contains_key(&address) {
            self.assemblies.pop_first();
        }
        let assembly = self.assemblies.entry(address).or_insert(Assembly {
            revision,
            count,
            parts: BTreeMap::new(),
        });
        if assembly.revision > revision {
            return None;
        }
        if (assembly.revision, assembly.count) != (revision, count) {
            *assembly = Assembly {
                revision,
                count,
                parts: BTreeMap::new(),
            };
        }
        assembly.parts.insert(fragment.index, fragment.bytes);
        if assembly.parts.len() < usize::from(count) {
            return None;
        }
        let assembly = self.assemblies.remove(&address)?;
        Some(Service {
            address,
            revision,
            body: assembly.parts.into_values().flatten().collect(),
        })
    }
}
