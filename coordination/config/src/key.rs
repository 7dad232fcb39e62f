//! Keys used in the platform's key-value service.
//!
//! Services are hashed into [`BUCKETS`] buckets. Each write of a service also
//! writes the change marker of its bucket in the same transaction. Markers are
//! small: a reader watches all of them and lists only the buckets that changed.
use wire::ServiceAddress;
use wire::ZoneId;

/// Number of a bucket; less than [`BUCKETS`].
pub type Bucket = u8;

/// Number of buckets.
pub const BUCKETS: u8 = 128;

/// Prefix of the keys of all services.
pub const SERVICE_PREFIX: &str = "greengagelug/service/";

/// Prefix of the change markers of all buckets.
pub const MARKER_PREFIX: &str = "greengagelug/changed/";

/// Prefix of the keys of the zones that operators have evacuated or restored.
pub const EVACUATION_PREFIX: &str = "greengagelug/evacuation/";

/// Prefix of the reader locks of all zones.
const READER_LOCK_PREFIX: &str = "greengagelug/reader/";

/// Returns the bucket of a service.
#[must_use]
pub fn bucket(address: ServiceAddress) -> Bucket {
    blake3::hash(address.to_string().as_bytes()).as_bytes()[0] % BUCKETS
}

/// Returns the key under which a service is stored.
#[must_use]
pub fn service(address: ServiceAddress) -> String {
    let prefix = bucket_prefix(bucket(address));
    format!("{prefix}{}/{}", address.ip(), address.port())
}

/// Returns the prefix of the keys of a bucket's services.
#[must_use]
pub fn bucket_prefix(bucket: Bucket) -> String {
    format!("{SERVICE_PREFIX}{bucket:02x}/")
}

/// Returns the key of a bucket's change marker, which every write of a service
/// in the bucket also writes.
#[must_use]
pub fn change_marker(bucket: Bucket) -> String {
    format!("{MARKER_PREFIX}{bucket:02x}")
}

/// Returns the bucket of a change marker's key.
#[must_use]
pub fn marker_bucket(key: &str) -> Option<Bucket> {
    let bucket = Bucket::from_str_radix(key.strip_prefix(MARKER_PREFIX)?, 16).ok()?;
    (bucket < BUCKETS).then_some(bucket)
}

/// Returns the bucket of a service's key.
#[must_use]
pub fn service_bucket(key: &str) -> Option<Bucket> {
    let (bucket, _) = key.strip_prefix(SERVICE_PREFIX)?.split_once('/')?;
    let bucket = Bucket::from_str_radix(bucket, 16).ok()?;
    (bucket < BUCKETS).then_some(bucket)
}

/// Returns the key under which the evacuation of a zone is stored.
#[must_use]
pub fn evacuation(zone: ZoneId) -> String {
    format!("{EVACUATION_PREFIX}{zone}")
}

/// Returns the zone of the key of an evacuation.
#[must_use]
pub fn evacuated_zone(key: &str) -> Option<ZoneId> {
    key.strip_prefix(EVACUATION_PREFIX)?.parse().ok()
}

/// Returns the key of a zone's reader lock with this number. The entry that
/// holds it by a lease reads the configuration from the store.
#[must_use]
pub fn reader_lock(zone: ZoneId, number: u8) -> String {
    format!("{}{number}", reader_lock_prefix(zone))
}

/// Returns the prefix of the keys of a zone's reader locks.
#[must_use]
pub fn reader_lock_prefix(zone: ZoneId) -> String {
    format!("{READER_LOCK_PREFIX}{zone}/")
}
