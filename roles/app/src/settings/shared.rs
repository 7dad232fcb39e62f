//! Settings that several roles have in common.
use std::str::FromStr;

use log::LevelFilter;
use wire::Seal;
use wire::seal::KEY_LEN;
use wire::seal::Key;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One line of text for people.
    Readable,
    /// One JSON object a line.
    Json,
    /// One short JSON object a line, on the standard output.
    Compact,
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Form of the lines.
    pub format: Format,
    /// Least severe level that is written.
    pub level: LevelFilter,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::Readable,
            level: LevelFilter::Info,
        }
    }
}

/// The keys that the processes of one installation share.
#[derive(Clone)]
pub struct Keys {
    /// Signs what is sent, and is accepted.
    pub sign: Key,
    /// Further keys that are accepted, for rotation.
    pub accept: Vec<Key>,
}

impl Keys {
    /// Builds the seal of the datagrams between processes.
    #[must_use]
    pub fn seal(&self) -> Seal {
        Seal::new(self.sign.clone(), self.accept.clone())
    }
}

impl Default for Keys {
    /// An all-zero key, for tests; the settings have no default key.
    fn default() -> Self {
        Self {
            sign: Key {
                id: 0,
                secret: [0; KEY_LEN],
            },
            accept: Vec::new(),
        }
    }
}

impl FromStr for Format {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "readable" => Ok(Self::Readable),
            "json" => Ok(Self::Json),
            "compact" => Ok(Self::Compact),
            _ => Err(()),
        }
    }
}
