//! Forwards the packets of callers and backend servers unmodified, without
//! reading their content.
//!
//! * [`Entry`] receives the packets of callers and finds the agent that holds
//!   each flow, or selects agents for a new one.
//! * [`Agent`] runs beside a backend server, delivers the packets of the flows
//!   that the server holds, and decides which new flows it admits.
//!
//! Both are state machines without sockets, clocks or threads: events and the
//! time since an arbitrary origin go in, actions come out.
pub mod agent;
pub mod entry;
mod history;
pub mod routes;

use std::time::Duration;

pub use agent::Agent;
pub use entry::Entry;
pub use history::History;
pub use routes::Route;
pub use routes::Routes;

/// Returns a time in milliseconds, as frames carry it.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
