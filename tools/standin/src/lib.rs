//! Stand-ins for what surrounds the system: the fabric, the platform and the
//! backend servers. They are for tests and demonstrations and are not shipped.
pub mod audit;
pub mod backend;
pub mod fabric;
pub mod options;
pub mod platform;
pub mod stop;
