//! Admits work to a backend server within its slots and the caller's deadline.
//!
//! * [`Gate`] holds the slots and the queue of one backend server.
//! * [`Held`] estimates the work that held flows will bring.
//! * [`Occupancy`] tells how long work that is only seen from outside would wait.
//! * [`Risk`] estimates how likely a backend server fails a request.
//! * [`Budget`] bounds retries to a share of first tries.
//! * [`Backoff`] spaces retries.
//!
//! All parts are sans-IO: they own no clock or randomness.
pub mod backoff;
pub mod budget;
pub mod capacity;
pub mod gate;
pub mod held;
pub mod job;
pub mod load;
pub mod occupancy;
pub mod pause;
pub mod queue;
pub mod risk;
pub mod share;

pub use backoff::Backoff;
pub use budget::Budget;
pub use gate::Gate;
pub use gate::Settings;
pub use held::Held;
pub use job::Class;
pub use job::Finish;
pub use job::Job;
pub use job::JobId;
pub use job::Reason;
pub use job::Release;
pub use job::Verdict;
pub use load::Load;
pub use occupancy::Occupancy;
pub use risk::Risk;
