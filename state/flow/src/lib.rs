//! The flows that an agent holds, and the states of their requests.
//!
//! * [`Table`] stores the flows and expires idle, half-open and closed ones.
//! * [`Ledger`] records each request before it runs, so that no non-idempotent
//!   request runs twice.
//! * [`Answer`] splits an answer into chunks.
//!
//! All modules are sans-IO: the caller passes in the time and random seeds, and
//! does the network I/O.
pub mod answer;
pub mod ledger;
pub mod record;
mod seeded;
pub mod seen;
pub mod table;
pub mod wheel;

pub use answer::Answer;
pub use ledger::Ledger;
pub use record::Record;
pub use record::State;
pub use table::Flow;
pub use table::Table;
