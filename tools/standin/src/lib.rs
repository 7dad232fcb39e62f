//! Stand-ins for what surrounds the system. They are for tests and
//! demonstrations and are not shipped.
pub mod platform;
