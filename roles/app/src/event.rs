//! The numbered events of the log. docs/EVENTS.md is made from this table; a
//! test holds it against the code.
//!
//! Numbers are never used again: 1xxx the process, 2xxx configuration and the
//! platform, 3xxx membership, 4xxx traffic, 5xxx backend servers.
use std::fmt;
use std::fmt::Write;
use std::net::SocketAddr;

use log::Level;
use wire::Incarnation;
use wire::Revision;
use wire::ServiceAddress;
use wire::TargetId;

/// Target of the log records that carry an event.
pub const LOG_TARGET: &str = "greengagelug";

/// One line of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Number of the event.
    pub number: u16,
    /// Severity.
    pub level: Level,
    /// Name of the event in the code.
    pub name: &'static str,
    /// Text, with the names of its fields in braces.
    pub text: &'static str,
    /// What an operator does about it.
    pub remedy: &'static str,
}

/// Defines the events and their catalogue from one table.
macro_rules! events {
    ($(
        $number:literal $level:ident $name:ident { $($field:ident: $type:ty),* $(,)? }
        $text:literal, $remedy:literal;
    )+) => {
        /// A numbered event.
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum Event {
            $(
                #[doc = concat!("Event ", $number, ": ", $text, ".")]
                $name {
                    $(
                        #[doc = concat!("The ", stringify!($field), " in the text.")]
                        $field: $type,
                    )*
                },
            )+
        }

        /// All events, by number.
        pub const CATALOGUE: &[Entry] = &[
            $(Entry {
                number: $number,
                level: Level::$level,
                name: stringify!($name),
                text: $text,
                remedy: $remedy,
            },)+
        ];

        impl Event {
            /// Number of the event.
            #[must_use]
            pub const fn number(&self) -> u16 {
                match self {
                    $(Self::$name { .. } => $number,)+
                }
            }

            /// Severity of the event.
            #[must_use]
            pub const fn level(&self) -> Level {
                match self {
                    $(Self::$name { .. } => Level::$level,)+
                }
            }
        }

        impl fmt::Display for Event {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self {
                    $(Self::$name { $($field),* } => write!(formatter, $text),)+
                }
            }
        }
    };
}

events! {
    1001 Info Starting { role: String }
        "{role} starts", "nothing";
    1002 Info Stopped { role: String }
        "{role} has stopped", "nothing";
    1003 Error Failed { role: String, error: String }
        "{role} failed: {error}", "check the addresses in the settings";
    1004 Info Metrics { samples: String }
        "metrics: {samples}", "nothing";
    2001 Info InForce { service: ServiceAddress, revision: Revision }
        "revision {revision} of service {service} is in force here", "nothing";
    2002 Error NotBound { service: ServiceAddress, error: String }
        "the address of service {service} cannot be bound: {error}",
        "give the host that address and restart the entry, or set --fabric";
    3001 Info TargetUp { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} takes work", "nothing";
    3002 Warn TargetDown { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} is held down",
        "look at its host, its agent's log and the network to it";
    3003 Info TargetDraining { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} takes no new flows", "nothing";
    3004 Info TargetLeft { service: ServiceAddress, target: TargetId }
        "backend server {target} of service {service} has left", "nothing";
    3005 Error Superseded { incarnation: Incarnation }
        "a newer process of incarnation {incarnation} has this one's place; this one ends",
        "run one process at an address, and look at why this one was frozen";
}

impl Event {
    /// Writes the event to the log.
    pub fn log(&self) {
        let number = self.number();
        log::log!(target: LOG_TARGET, self.level(), event = number; "{self}");
    }
}

/// The page docs/EVENTS.md.
#[must_use]
pub fn page() -> String {
    let mut page = String::from(include_str!("event/page.md"));
    for entry in CATALOGUE {
        // Writing to a String cannot fail.
        let _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} |",
            entry.number,
            entry.level.as_str().to_lowercase(),
            entry.name,
            entry.text,
            entry.remedy,
        );
    }
    page
}
