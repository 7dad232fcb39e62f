//! Choice of the entries that watch a process: rendezvous hashing, spread over
//! zones.
//!
//! Each entry is scored by a hash of its key and that of the process; the
//! highest scores win (see Thaler and Ravishankar, "Using name-based mappings
//! to increase hit rates", 1998). A change in the set of entries moves only the
//! watchers that it affects.
use std::collections::BTreeSet;
use std::net::SocketAddr;

use wire::ZoneId;

use crate::record::Key;
use crate::record::SubjectId;
use crate::zone::RegionId;
use crate::zone::region;

/// Entry that may watch a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Key of the entry.
    pub key: Key,
    /// UDP address of the entry.
    pub address: SocketAddr,
    /// Zone of the entry.
    pub zone: ZoneId,
}

/// Returns the best entries for a process in its own region, best first. The
/// best entry of each zone comes before the others. Falls back to all regions
/// if the region has no other entry.
#[must_use]
pub fn local(
    subject: SubjectId,
    zone: ZoneId,
    candidates: &[Candidate],
    count: usize,
) -> Vec<SocketAddr> {
    let near = |candidate: &Candidate| region(candidate.zone) == region(zone);
    let chosen = spread_over_zones(
        subject,
        candidates.iter().filter(|other| near(other)),
        count,
    );
    if chosen.is_empty() {
        spread_over_zones(subject, candidates.iter(), count)
    } else {
        chosen
    }
}

/// Returns the best entries for a process in other regions: `count` in each of
/// at most `regions`, spread over zones.
#[must_use]
pub fn remote(
    subject: SubjectId,
    zone: ZoneId,
    candidates: &[Candidate],
    regions: usize,
    count: usize,
) -> Vec<SocketAddr> {
    let others: BTreeSet<RegionId> = candidates
        .iter()
        .map(|candidate| region(candidate.zone))
        .filter(|other| *other != region(zone))
        .collect();
    let mut others: Vec<RegionId> = others.into_iter().collect();
    others.sort_by_key(|other| score(subject, Key::from(*other)));
    others.truncate(regions);
    let best = others.into_iter().flat_map(|other| {
        let within = |candidate: &&Candidate| region(candidate.zone) == other;
        spread_over_zones(subject, candidates.iter().filter(within), count)
    });
    best.collect()
}

fn spread_over_zones<'a>(
    subject: SubjectId,
    candidates: impl Iterator<Item = &'a Candidate>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut zones = Best::default();
    let mut all = Best::default();
    for candidate in candidates {
        zones.offer_per_zone(subject, candidate, |held| held.zone == candidate.zone);
        all.offer(subject, candidate, count);
    }
    let mut chosen = zones.into_addresses(count);
    for address in all.into_addresses(count) {
        if chosen.len() < count && !chosen.contains(&address) {
            chosen.push(address);
        }
    }
    chosen
}

/// Candidates with the highest scores, best first.
#[derive(Default)]
struct Best {
    candidates: Vec<Scored>,
}

struct Scored {
    score: u64,
    candidate: Candidate,
}

impl Best {
    /// Inserts the candidate if it is among the `limit` best.
    fn offer(&mut self, subject: SubjectId, candidate: &Candidate, limit: usize) {
        let score = score(subject, candidate.key);
        let full = self.candidates.len() >= limit;
        let beaten = self
            .candidates
            .last()
            .is_none_or(|last| last.score >= score);
        if candidate.key == subject || (full && beaten) {
            return;
        }
        let at = self
            .candidates
            .partition_point(|scored| scored.score > score);
        let candidate = *candidate;
        self.candidates.insert(at, Scored { score, candidate });
        self.candidates.truncate(limit);
    }

    /// Inserts the candidate if it is the first of its zone, or in place of
    /// the one of its zone that scores lower.
    fn offer_per_zone(
        &mut self,
        subject: SubjectId,
        candidate: &Candidate,
        is_same_zone: impl Fn(&Candidate) -> bool,
    ) {
        let score = score(subject, candidate.key);
        let rival = self
            .candidates
            .iter()
            .position(|scored| is_same_zone(&scored.candidate));
        match rival {
            Some(at) if self.candidates[at].score >= score => return,
            Some(at) if candidate.key != subject => {
                self.candidates.remove(at);
            }
            _ => {}
        }
        self.offer(subject, candidate, usize::MAX);
    }

    fn into_addresses(self, count: usize) -> Vec<SocketAddr> {
        let best = self.candidates.into_iter().take(count);
        best.map(|scored| scored.candidate.address).collect()
    }
}

/// Mixes two keys that are already hashes, with the finaliser of `splitmix64`.
#[must_use]
pub const fn score(subject: Key, candidate: Key) -> u64 {
    let mut hash = subject ^ candidate.rotate_left(32);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
