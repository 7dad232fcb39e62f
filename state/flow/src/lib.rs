//! The flows that an agent holds, and what became of their requests.
//!
//! * [`Table`] holds the flows; idle, half-open and closed ones expire.
//! * [`Ledger`] records each request before it runs, so that none runs twice.
//! * [`Answer`] cuts an answer into chunks.
//!
//! All parts are sans-IO: they own no socket, clock or randomness.
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
