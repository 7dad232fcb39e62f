//! Chooses the entries that gossip goes to.
use std::net::SocketAddr;

use fastrand::Rng;
use wire::ZoneId;

use crate::choice::Candidate;
use crate::zone::region;

/// One in this many messages beyond the zone leaves the region.
const FAR_ONE_IN: usize = 4;

/// The running entries other than this one, by distance.
#[derive(Debug, Default)]
pub struct Peers {
    zone: Vec<SocketAddr>,
    region: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
}

impl Peers {
    /// Sorts the entries by their distance from `zone`.
    #[must_use]
    pub fn new(own: SocketAddr, zone: ZoneId, entries: impl Iterator<Item = Candidate>) -> Self {
        let mut peers = Self::default();
        for entry in entries.filter(|entry| entry.address != own) {
            let list = match entry.zone {
                same if same == zone => &mut peers.zone,
                near if region(near) == region(zone) => &mut peers.region,
                _ => &mut peers.far,
            };
            list.push(entry.address);
        }
        peers
    }

    /// Number of peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.zone.len() + self.region.len() + self.far.len()
    }

    /// Chooses `count` different peers where there are as many: one beyond the
    /// zone, the others within it.
    #[must_use]
    pub fn choose(&self, count: usize, rng: &mut Rng) -> Vec<SocketAddr> {
        let mut chosen: Vec<SocketAddr> = self.beyond(rng).into_iter().collect();
        let mut attempts = 0;
        let limit = count.min(self.len());
        while chosen.len() < limit && attempts < count * 8 {
            attempts += 1;
            let own_zone = attempts <= count * 2;
            let next = if own_zone {
                pick(&self.zone, rng)
            } else {
                self.any(rng)
            };
            chosen.extend(next.filter(|next| !chosen.contains(next)));
        }
        chosen.truncate(count);
        chosen
    }

    /// Chooses one peer, in the own zone as often as beyond it.
    #[must_use]
    pub fn one(&self, rng: &mut Rng) -> Option<SocketAddr> {
        if rng.bool() {
            pick(&self.zone, rng).or_else(|| self.beyond(rng))
        } else {
            self.beyond(rng).or_else(|| pick(&self.zone, rng))
        }
    }

    fn beyond(&self, rng: &mut Rng) -> Option<SocketAddr> {
        match rng.usize(..FAR_ONE_IN) {
            0 => pick(&self.far, rng).or_else(|| pick(&self.region, rng)),
            _ => pick(&self.region, rng).or_else(|| pick(&self.far, rng)),
        }
    }

    fn any(&self, rng: &mut Rng) -> Option<SocketAddr> {
        match rng.usize(..self.len().max(1)) {
            at if at < self.zone.len() => self.zone.get(at).copied(),
            at if at < self.zone.len() + self.region.len() => {
                self.region.get(at - self.zone.len()).copied()
            }
            _ => pick(&self.far, rng),
        }
    }
}

fn pick(list: &[SocketAddr], rng: &mut Rng) -> Option<SocketAddr> {
    match list.len() {
        0 => None,
        len => Some(list[rng.usize(..len)]),
    }
}
