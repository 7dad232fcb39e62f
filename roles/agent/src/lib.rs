//! The agent beside a backend server, as a state machine without I/O.
//!
//! [`Agent::handle`] takes an [`Event`] and the time and pushes [`Action`]s;
//! the process around it owns the sockets, the clock and the threads.
pub mod action;
pub mod event;
pub mod offer;
pub mod park;
pub mod view;

pub use action::Action;
pub use action::Job;
pub use event::Completion;
pub use event::Event;
pub use offer::Offer;
pub use offer::Outcome;
pub use view::View;
