//! Carries the packets of callers and backend servers unread and unchanged.
//!
//! * [`Entry`] takes the packets of callers and finds the agent that holds, or
//!   is to take, each flow.
//! * [`Agent`] stands beside a backend server, hands it the packets of the flows
//!   that it holds, and decides which new flows it takes.
//!
//! Both are state machines without sockets, clocks or threads: events and the
//! time since an arbitrary origin go in, actions come out.
pub mod agent;
pub mod entry;
pub mod routes;

pub use agent::Agent;
pub use entry::Entry;
pub use routes::Route;
pub use routes::Routes;
