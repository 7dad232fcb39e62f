//! Regions and zones.
use wire::ZoneId;

/// Names a region.
pub type RegionId = u8;

/// The region of a zone: its upper byte.
#[must_use]
pub const fn region(zone: ZoneId) -> RegionId {
    zone.to_be_bytes()[0]
}
