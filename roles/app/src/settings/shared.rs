//! Settings common to several roles.
use std::str::FromStr;

use log::LevelFilter;
use wire::Seal;
use wire::seal::KEY_LEN;
use wire::seal::Key;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable line of text.
    Readable,
    /// One JSON object per line.
    Json,
    /// One short JSON object per line, on the standard output.
    Compact,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub format: Format,
    /// Lowest severity that is logged.
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

/// Keys shared by the processes of one installation.
#[derive(Clone)]
pub struct Keys {
    /// Key that signs sent messages; it is also accepted on received ones.
    pub sign: Key,
    /// Further keys accepted on received messages, for key rotation.
    pub accept: Vec<Key>,
}

impl Keys {
    /// Builds the seal that signs and verifies datagrams between processes.
    #[must_use]
    pub fn seal(&self) -> Seal {
        Seal::new(self.sign.clone(), self.accept.clone())
    }
}

impl Default for Keys {
    /// Returns an all-zero key for tests; the settings have no default key.
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
