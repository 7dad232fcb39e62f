//! Keys of the platform's key-value service that the system uses.
//!
//! Services are spread over [`BUCKETS`] buckets. Each write of a service writes
//! the mark of its bucket in the same step, so that a reader watches the small
//! marks and then lists only the buckets that changed.
use wire::ServiceAddress;
use wire::ZoneId;

/// Names a bucket; less than [`BUCKETS`].
pub type Bucket = u8;

/// Number of buckets.
pub const BUCKETS: u8 = 128;

/// Prefix of the keys of all services.
pub const SERVICES: &str = "greengagelug/service/";

/// Prefix of the marks of all buckets.
pub const MARKS: &str = "greengagelug/changed/";

/// Prefix of the seats of all zones.
const SEATS: &str = "greengagelug/reader/";

/// The bucket of a service.
#[must_use]
pub fn bucket(address: ServiceAddress) -> Bucket {
    blake3::hash(address.to_string().as_bytes()).as_bytes()[0] % BUCKETS
}

/// The key that a service is stored under.
#[must_use]
pub fn service(address: ServiceAddress) -> String {
    let prefix = services(bucket(address));
    format!("{prefix}{}/{}", address.ip(), address.port())
}

/// Prefix of the keys of a bucket's services.
#[must_use]
pub fn services(bucket: Bucket) -> String {
    format!("{SERVICES}{bucket:02x}/")
}

/// The key that is written whenever a service of the bucket is.
#[must_use]
pub fn mark(bucket: Bucket) -> String {
    format!("{MARKS}{bucket:02x}")
}

/// The bucket that a mark belongs to.
#[must_use]
pub fn parse_mark(key: &str) -> Option<Bucket> {
    let bucket = Bucket::from_str_radix(key.strip_prefix(MARKS)?, 16).ok()?;
    (bucket < BUCKETS).then_some(bucket)
}

/// The bucket of a service's key.
#[must_use]
pub fn parse_service(key: &str) -> Option<Bucket> {
    let (bucket, _) = key.strip_prefix(SERVICES)?.split_once('/')?;
    let bucket = Bucket::from_str_radix(bucket, 16).ok()?;
    (bucket < BUCKETS).then_some(bucket)
}

/// The key that a reader of a zone holds.
#[must_use]
pub fn seat(zone: ZoneId, number: u8) -> String {
    format!("{}{number}", seats(zone))
}

/// Prefix of the keys that the readers of a zone hold.
#[must_use]
pub fn seats(zone: ZoneId) -> String {
    format!("{SEATS}{zone}/")
}
