//! Zones and the regions that they belong to.
use wire::ZoneId;

/// Id of a region.
pub type RegionId = u8;

/// Returns the region of a zone, which is the upper byte of its id.
#[must_use]
pub const fn region(zone: ZoneId) -> RegionId {
    zone.to_be_bytes()[0]
}
