//! The types of the table of settings; see [`super::list`] for its rows.
use std::fmt;
use std::time::Duration;

pub use super::list::SETTINGS;

/// A role of the binary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `greengagelug entry`.
    Entry,
    /// `greengagelug agent`.
    Agent,
    /// `greengagelug gateway`.
    Gateway,
    /// `greengagelug sidecar`.
    Sidecar,
    /// `greengagelug operate`.
    Operate,
    /// `greengagelug call`.
    Call,
}

/// The type of a setting, with its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An IP address and port that other processes can send to.
    Address,
    /// An IP address and port to send from; both may be 0.
    Local,
    /// One of them, or none.
    Optional,
    /// Several of them, separated by commas; this many at least.
    Addresses(usize),
    /// A whole number.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A time, as a whole number of `unit`.
    Time {
        /// What is counted.
        unit: Unit,
        /// Smallest number.
        min: u64,
        /// Largest number.
        max: u64,
    },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// Any text.
    Text,
    /// A key id and 64 hexadecimal digits, as `ID:HEX`.
    Key,
    /// Several keys, separated by commas.
    Keys,
}

/// What a time is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
}

impl Unit {
    /// The time that `count` of the unit make.
    #[must_use]
    pub const fn duration(self, count: u64) -> Duration {
        match self {
            Self::Milliseconds => Duration::from_millis(count),
            Self::Seconds => Duration::from_secs(count),
        }
    }
}

/// What a setting is without its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// It must be given.
    Required,
    /// This text stands for it.
    Text(&'static str),
}

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without its dashes.
    pub name: &'static str,
    /// The roles that have it.
    pub roles: &'static [Role],
    /// Type and range.
    pub kind: Kind,
    /// Unit, or empty.
    pub unit: &'static str,
    /// Value where it is not given.
    pub default: Preset,
    /// What it is for.
    pub help: &'static str,
}

impl Setting {
    /// Name of the environment variable.
    #[must_use]
    pub fn variable(&self) -> String {
        let name = self.name.replace('-', "_").to_uppercase();
        format!("GREENGAGELUG_{name}")
    }
}

impl Role {
    /// All roles, in the order of the help.
    pub const ALL: [Self; 6] = [
        Self::Entry,
        Self::Agent,
        Self::Gateway,
        Self::Sidecar,
        Self::Operate,
        Self::Call,
    ];

    /// The word on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Gateway => "gateway",
            Self::Sidecar => "sidecar",
            Self::Operate => "operate",
            Self::Call => "call",
        }
    }

    /// The settings of this role.
    pub fn settings(self) -> impl Iterator<Item = &'static Setting> {
        let has_role = move |setting: &&Setting| setting.roles.contains(&self);
        SETTINGS.iter().filter(has_role)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address | Self::Optional | Self::Local => formatter.write_str("IP:PORT"),
            Self::Addresses(_) => formatter.write_str("IP:PORT,..."),
            Self::Number { .. } | Self::Time { .. } => formatter.write_str("NUMBER"),
            Self::Choice(_) => formatter.write_str("WORD"),
            Self::Text => formatter.write_str("TEXT"),
            Self::Key => formatter.write_str("ID:HEX"),
            Self::Keys => formatter.write_str("ID:HEX,..."),
        }
    }
}

impl Kind {
    /// The range in words, or empty where there is none.
    #[must_use]
    pub fn range(&self) -> String {
        match self {
            Self::Number { min, max } | Self::Time { min, max, .. } => format!("{min} to {max}"),
            Self::Choice(words) => words.join(", "),
            Self::Address | Self::Optional => "neither 0".into(),
            Self::Addresses(min) => format!("{min} or more, neither 0"),
            Self::Key | Self::Keys => "id 0 to 255, 64 hexadecimal digits".into(),
            Self::Local | Self::Text => String::new(),
        }
    }
}
