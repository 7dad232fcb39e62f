//! The table of all settings, from which the help, the checks and the page
//! docs/SETTINGS.md are made.
use std::fmt;
use std::time::Duration;

/// A role of the binary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// `greengagelug entry`.
    Entry,
    /// `greengagelug agent`.
    Agent,
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

const DAEMONS: &[Role] = &[Role::Entry, Role::Agent];
const ENTRY: &[Role] = &[Role::Entry];
const AGENT: &[Role] = &[Role::Agent];
const OPERATE: &[Role] = &[Role::Operate];
const CALL: &[Role] = &[Role::Call];

/// All settings, in the order of the help.
pub const SETTINGS: &[Setting] = &[
    Setting {
        name: "listen",
        roles: DAEMONS,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "UDP address for frames; other processes reach this one here",
    },
    Setting {
        name: "control",
        roles: DAEMONS,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "TCP address for calls between processes",
    },
    Setting {
        name: "operator",
        roles: ENTRY,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "TCP address of the operators' RPC",
    },
    Setting {
        name: "fabric",
        roles: ENTRY,
        kind: Kind::Addresses(0),
        unit: "",
        default: Preset::Text(""),
        help: "UDP address of a fabric that wraps callers' datagrams; without \
               one the entry binds the service addresses itself",
    },
    Setting {
        name: "peers",
        roles: ENTRY,
        kind: Kind::Addresses(0),
        unit: "",
        default: Preset::Text(""),
        help: "UDP addresses of entries to join through",
    },
    Setting {
        name: "store",
        roles: ENTRY,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "TCP address of the platform's key-value service",
    },
    Setting {
        name: "threads",
        roles: ENTRY,
        kind: Kind::Number { min: 1, max: 64 },
        unit: "threads",
        default: Preset::Text("1"),
        help: "threads that relay packets",
    },
    Setting {
        name: "service",
        roles: &[Role::Agent, Role::Call],
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "address that callers of the service send to",
    },
    Setting {
        name: "backend",
        roles: AGENT,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "HTTP address of the backend server beside the agent",
    },
    Setting {
        name: "slots",
        roles: AGENT,
        kind: Kind::Number { min: 1, max: 1024 },
        unit: "requests",
        default: Preset::Text("4"),
        help: "requests that the backend server runs at a time",
    },
    Setting {
        name: "seeds",
        roles: AGENT,
        kind: Kind::Addresses(1),
        unit: "",
        default: Preset::Required,
        help: "UDP addresses of entries to announce to",
    },
    Setting {
        name: "stop",
        roles: DAEMONS,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 1,
            max: 3600,
        },
        unit: "s",
        default: Preset::Text("10"),
        help: "longest time between SIGTERM and exit",
    },
    Setting {
        name: "zone",
        roles: DAEMONS,
        kind: Kind::Number {
            min: 0,
            max: u16::MAX as u64,
        },
        unit: "",
        default: Preset::Required,
        help: "availability zone of the host; the upper byte names its region",
    },
    Setting {
        name: "sign-key",
        roles: DAEMONS,
        kind: Kind::Key,
        unit: "",
        default: Preset::Required,
        help: "key that signs messages between processes; prefer the environment variable",
    },
    Setting {
        name: "accept-keys",
        roles: DAEMONS,
        kind: Kind::Keys,
        unit: "",
        default: Preset::Text(""),
        help: "further keys that are accepted, for rotation",
    },
    Setting {
        name: "entries",
        roles: OPERATE,
        kind: Kind::Addresses(1),
        unit: "",
        default: Preset::Required,
        help: "operators' addresses of entries; the first that answers is used",
    },
    Setting {
        name: "timeout",
        roles: OPERATE,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 1,
            max: 600,
        },
        unit: "s",
        default: Preset::Text("10"),
        help: "longest time that one call may take",
    },
    Setting {
        name: "name",
        roles: CALL,
        kind: Kind::Text,
        unit: "",
        default: Preset::Text(""),
        help: "name that the service's backend servers echo; empty accepts any",
    },
    Setting {
        name: "bind",
        roles: CALL,
        kind: Kind::Local,
        unit: "",
        default: Preset::Text("127.0.0.1:0"),
        help: "local UDP address; port 0 takes a free one",
    },
    Setting {
        name: "flows",
        roles: CALL,
        kind: Kind::Number {
            min: 1,
            max: 100_000,
        },
        unit: "flows",
        default: Preset::Text("100"),
        help: "flows that are held open",
    },
    Setting {
        name: "rate",
        roles: CALL,
        kind: Kind::Number {
            min: 1,
            max: 100_000,
        },
        unit: "requests/s",
        default: Preset::Text("100"),
        help: "requests over all flows",
    },
    Setting {
        name: "duration",
        roles: CALL,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 1,
            max: 86_400,
        },
        unit: "s",
        default: Preset::Text("10"),
        help: "how long requests are sent",
    },
    Setting {
        name: "idempotent",
        roles: CALL,
        kind: Kind::Number { min: 0, max: 100 },
        unit: "%",
        default: Preset::Text("50"),
        help: "share of requests that are idempotent",
    },
    Setting {
        name: "deadline",
        roles: CALL,
        kind: Kind::Time {
            unit: Unit::Milliseconds,
            min: 1,
            max: 600_000,
        },
        unit: "ms",
        default: Preset::Text("5000"),
        help: "how long each request may take, repeats included",
    },
    Setting {
        name: "payload",
        roles: CALL,
        kind: Kind::Number {
            min: 0,
            max: wire::frame::MAX_PAYLOAD_BYTES as u64,
        },
        unit: "B",
        default: Preset::Text("64"),
        help: "smallest payload of a request",
    },
    Setting {
        name: "output",
        roles: CALL,
        kind: Kind::Text,
        unit: "",
        default: Preset::Text(""),
        help: "file that the report is written to as JSON; empty for none",
    },
    Setting {
        name: "plot",
        roles: CALL,
        kind: Kind::Text,
        unit: "",
        default: Preset::Text(""),
        help: "file that the latency through the run is drawn to as SVG; empty for none",
    },
    Setting {
        name: "seed",
        roles: CALL,
        kind: Kind::Number {
            min: 0,
            max: u64::MAX,
        },
        unit: "",
        default: Preset::Text("0"),
        help: "seed of all random choices; 0 takes one from the system",
    },
    Setting {
        name: "metrics-interval",
        roles: DAEMONS,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 0,
            max: 86_400,
        },
        unit: "s",
        default: Preset::Text("60"),
        help: "time between two log lines with all metrics; 0 writes none",
    },
    Setting {
        name: "log-format",
        roles: DAEMONS,
        kind: Kind::Choice(&["readable", "json"]),
        unit: "",
        default: Preset::Text("readable"),
        help: "form of the log lines",
    },
    Setting {
        name: "log-level",
        roles: DAEMONS,
        kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        unit: "",
        default: Preset::Text("info"),
        help: "least severe level that is logged",
    },
];

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
    pub const ALL: [Self; 4] = [Self::Entry, Self::Agent, Self::Operate, Self::Call];

    /// The word on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
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
            Self::Address | Self::Local => formatter.write_str("IP:PORT"),
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
            Self::Address => "neither 0".into(),
            Self::Addresses(min) => format!("{min} or more, neither 0"),
            Self::Key | Self::Keys => "id 0 to 255, 64 hexadecimal digits".into(),
            Self::Local | Self::Text => String::new(),
        }
    }
}
