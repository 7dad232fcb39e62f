//! The operators' gRPC interface: the server in every entry, and the client and
//! output of the `operate` command.
pub mod args;
pub mod client;
pub mod command;
mod convert;
pub mod print;
pub mod server;
mod spawn;

pub use client::Client;
pub use server::Context;
pub use server::Snapshot;
pub use server::serve;
