//! Types of the table of settings; `super::list` has its rows.
use std::fmt;
use std::time::Duration;

pub use super::list::SETTINGS;

/// Role of the binary, the first argument on its command line.
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

/// Type of a setting with its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// IP address and port that other processes can send to; neither may be 0.
    Address,
    /// Local IP address and port to bind; both may be 0.
    LocalAddress,
    /// Address like [`Kind::Address`], or empty for none.
    OptionalAddress,
    /// Addresses like [`Kind::Address`], separated by commas; the number is the
    /// smallest count.
    Addresses(usize),
    /// Whole number.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// Duration, as a whole number of `unit`.
    Time {
        /// Unit of the number.
        unit: Unit,
        /// Smallest number.
        min: u64,
        /// Largest number.
        max: u64,
    },
    /// Duration like [`Kind::Time`], or empty for one that is derived.
    OptionalTime {
        /// Unit of the number.
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
    /// Key id and 64 hexadecimal digits, as `ID:HEX`.
    Key,
    /// Several keys, separated by commas.
    Keys,
}

/// Unit of a duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
}

impl Unit {
    /// Returns the duration of `count` units.
    #[must_use]
    pub const fn duration(self, count: u64) -> Duration {
        match self {
            Self::Milliseconds => Duration::from_millis(count),
            Self::Seconds => Duration::from_secs(count),
        }
    }
}

/// Behaviour when a setting is not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preset {
    /// The setting must be given.
    Required,
    /// This text is used as its value.
    Text(&'static str),
}

/// Description of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without its dashes.
    pub name: &'static str,
    /// Roles that have the setting.
    pub roles: &'static [Role],
    /// Type and range.
    pub kind: Kind,
    /// Unit of the value, empty if it has none.
    pub unit: &'static str,
    /// Default value, unless the setting is required.
    pub default: Preset,
    /// Description for the help and the page.
    pub help: &'static str,
}

impl Setting {
    /// Returns the name of the environment variable.
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

    /// Returns the name of the role on the command line.
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

    /// Returns the settings of the role.
    pub fn settings(self) -> impl Iterator<Item = &'static Setting> {
        let has_role = move |setting: &&Setting| setting.roles.contains(&self);
        SETTINGS.iter().filter(has_role)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Address | Self::OptionalAddress | Self::LocalAddress => {
                formatter.write_str("IP:PORT")
            }
            Self::Addresses(_) => formatter.write_str("IP:PORT,..."),
            Self::Number { .. } | Self::Time { .. } | Self::OptionalTime { .. } => {
                formatter.write_str("NUMBER")
            }
            Self::Choice(_) => formatter.write_str("WORD"),
            Self::Text => formatter.write_str("TEXT"),
            Self::Key => formatter.write_str("ID:HEX"),
            Self::Keys => formatter.write_str("ID:HEX,..."),
        }
    }
}

impl Kind {
    /// Returns the range as text, empty if the type has none.
    #[must_use]
    pub fn range(&self) -> String {
        match self {
            Self::Number { min, max }
            | Self::Time { min, max, .. }
            | Self::OptionalTime { min, max, .. } => format!("{min} to {max}"),
            Self::Choice(words) => words.join(", "),
            Self::Address | Self::OptionalAddress => "neither 0".into(),
            Self::Addresses(min) => format!("{min} or more, neither 0"),
            Self::Key | Self::Keys => "id 0 to 255, 64 hexadecimal digits".into(),
            Self::LocalAddress | Self::Text => String::new(),
        }
    }
}
