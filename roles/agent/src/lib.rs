//! The agent that runs beside a backend server, as a state machine without I/O.
//!
//! [`Agent::handle`] processes an [`Event`] at a given time and appends the
//! resulting [`Action`]s; the surrounding process owns the sockets, the clock
//! and the threads.
pub mod action;
mod agent;
mod claim;
mod close;
pub mod event;
mod leave;
pub mod offer;
mod offered;
mod open;
pub mod park;
mod parked;
mod parts;
mod pass;
mod pinning;
mod relay;
mod request;
mod retry;
pub mod settings;
pub mod status;
mod task;
pub mod view;

pub use action::Action;
pub use action::Job;
pub use agent::Agent;
pub use event::Completion;
pub use event::Event;
pub use offer::Offer;
pub use offer::Outcome;
pub use settings::Settings;
pub use status::Status;
pub use view::View;
