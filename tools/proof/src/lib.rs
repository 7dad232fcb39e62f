//! Runs small deployments of real processes on loopback addresses, for tests
//! that kill, freeze and disconnect them.
//!
//! A deployment has a platform, a fabric, three entries, and two services:
//! `roster` with four backend servers and `rota` with two. Its processes are
//! killed when the value is dropped.
mod child;
mod deployment;
mod program;
mod service;

pub use child::Child;
pub use child::Signal;
pub use deployment::Deployment;
pub use deployment::Load;
pub use deployment::Outcome;
pub use program::program;
pub use service::Service;
