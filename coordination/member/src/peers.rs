//! Choice of the entries that receive gossip.
use std::net::SocketAddr;

use fastrand::Rng;
use wire::ZoneId;

use crate::rendezvous::Candidate;
use crate::zone::region;

/// One in this many messages that leave the zone goes to another region.
const CROSS_REGION_ONE_IN: usize = 4;

/// Running entries other than this one, by distance.
#[derive(Debug, Default)]
pub struct Peers {
    zone: Vec<SocketAddr>,
    region: Vec<SocketAddr>,
    other_regions: Vec<SocketAddr>,
}

impl Peers {
    /// Groups the entries by their distance from `zone`.
    #[must_use]
    pub fn new(own: SocketAddr, zone: ZoneId, entries: impl Iterator<Item = Candidate>) -> Self {
        let mut peers = Self::default();
        for entry in entries.filter(|entry| entry.address != own) {
            let list = match entry.zone {
                same if same == zone => &mut peers.zone,
                near if region(near) == region(zone) => &mut peers.region,
                _ => &mut peers.other_regions,
            };
            list.push(entry.address);
        }
        peers
    }

    /// Returns the number of peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zone.len() + self.region.len() + self.other_regions.len()
    }

    /// Returns up to `count` different peers: one outside the zone, the others
    /// within it if there are enough.
    #[must_use]
    pub fn choose(&self, count: usize, rng: &mut Rng) -> Vec<SocketAddr> {
        let mut chosen: Vec<SocketAddr> = self.choose_outside_zone(rng).into_iter().collect();
        let mut attempts = 0;
        let limit = count.min(self.len());
        while chosen.len() < limit && attempts < count * 8 {
            attempts += 1;
            let own_zone = attempts <= count * 2;
            let next = if own_zone {
                pick(&self.zone, rng)
            } else {
                self.choose_any(rng)
            };
            chosen.extend(next.filter(|next| !chosen.contains(next)));
        }
        chosen.truncate(count);
        chosen
    }

    /// Returns one peer, with equal probability from within the zone or outside
    /// it.
    #[must_use]
    pub fn choose_one(&self, rng: &mut Rng) -> Option<SocketAddr> {
        if rng.bool() {
            pick(&self.zone, rng).or_else(|| self.choose_outside_zone(rng))
        } else {
            self.choose_outside_zone(rng)
                .or_else(|| pick(&self.zone, rng))
        }
    }

    fn choose_outside_zone(&self, rng: &mut Rng) -> Option<SocketAddr> {
        match rng.usize(..CROSS_REGION_ONE_IN) {
            0 => pick(&self.other_regions, rng).or_else(|| pick(&self.region, rng)),
            _ => pick(&self.region, rng).or_else(|| pick(&self.other_regions, rng)),
        }
    }

    fn choose_any(&self, rng: &mut Rng) -> Option<SocketAddr> {
        match rng.usize(..self.len().max(1)) {
            at if at < self.zone.len() => self.zone.get(at).copied(),
            at if at < self.zone.len() + self.region.len() => {
                self.region.get(at - self.zone.len()).copied()
            }
            _ => pick(&self.other_regions, rng),
        }
    }
}

fn pick(list: &[SocketAddr], rng: &mut Rng) -> Option<SocketAddr> {
    match list.len() {
        0 => None,
        len => Some(list[rng.usize(..len)]),
    }
}
