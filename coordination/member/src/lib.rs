//! Membership: how agents announce their backend servers, and how entries keep
//! the directory of targets, detect failures and gossip records.
//!
//! * [`Announcer`] runs in an agent. It sends heartbeats to its watchers among
//!   the entries and keeps the [`View`] of its own service.
//! * [`Registry`] runs in an entry. It holds the [`View`] of every service.
//! * [`Message`] is one datagram of the protocol between them.
//!
//! Both are state machines without sockets, clocks or threads. Events and the
//! time since an arbitrary origin are their inputs, [`Action`]s their outputs.
pub mod action;
pub mod announcer;
pub mod message;
pub mod record;
pub mod registry;
pub mod settings;
pub mod status;
pub mod targets;
pub mod tree;
pub mod view;

mod budget;
mod digest;
mod directory;
mod fragment;
mod link;
mod peers;
mod rendezvous;
mod rumors;
mod statements;
mod watches;
mod zone;
mod zones;

pub use action::Action;
pub use announcer::Announcer;
pub use digest::Digest;
pub use fragment::Fetch;
pub use fragment::Fragment;
pub use fragment::Offer;
pub use message::Message;
pub use record::BROADCAST_ADDRESS;
pub use record::Entry;
pub use record::Record;
pub use record::Service;
pub use registry::Identity;
pub use registry::Registry;
pub use settings::Settings;
pub use status::Refusal;
pub use status::Status;
pub use targets::Targets;
pub use view::Health;
pub use view::Member;
pub use view::View;
