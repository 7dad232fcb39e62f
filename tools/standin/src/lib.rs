//! Stand-ins for the system's surroundings: the fabric, the platform's store
//! and the backend servers. They serve tests and demonstrations and are not
//! released.
pub mod audit;
pub mod backend;
pub mod fabric;
pub mod options;
pub mod platform;
pub mod stop;
