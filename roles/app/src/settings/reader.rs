//! Reader of the settings of a role from flags and environment variables.
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use getopts::Matches;
use thiserror::Error;
use wire::seal::KEY_LEN;
use wire::seal::Key;

use super::table::Kind;
use super::table::Preset;
use super::table::Role;
use super::table::Setting;

const HEX_RADIX: u32 = 16;
const HEX_DIGITS_PER_BYTE: usize = 2;

/// Error in the settings of a role.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// {0}; see `greengagelug help` for the roles and their flags
    Unreadable(String),
    /// --{flag} is missing; give it or set {variable}
    Missing {
        /// Name of the flag.
        flag: String,
        /// Name of the environment variable.
        variable: String,
    },
    /// {origin} does not accept `{value}`; give {expected}
    Invalid {
        /// Flag, environment variable or default that gave the value.
        origin: String,
        /// Rejected text; `***` for keys.
        value: String,
        /// Accepted form and range.
        expected: String,
    },
    /// {first} and {second} are the same address; give each its own port
    DuplicateAddress {
        /// Flag of one address, with its dashes.
        first: String,
        /// Flag of the other address, with its dashes.
        second: String,
    },
    /// --sign-key and --accept-keys have two keys with the id {0}; give each key its own id
    DuplicateKeyId(u8),
    /// missing command; see `greengagelug help operate` for the commands
    NoCommand,
    /// unexpected argument `{0}`; see `greengagelug help ROLE` for the flags
    Unexpected(String),
}

/// Reads the settings of one role and collects all errors.
pub struct Reader<'a> {
    role: Role,
    matches: &'a Matches,
    variable: &'a dyn Fn(&str) -> Option<String>,
    errors: Vec<Error>,
}

/// Unparsed value of a setting and the flag, environment variable or default that
/// it comes from.
struct RawValue {
    text: String,
    origin: String,
}

impl<'a> Reader<'a> {
    /// Creates a reader that uses the flags in `matches` first, then the
    /// environment variables that `variable` looks up.
    #[must_use]
    pub const fn new(
        role: Role,
        matches: &'a Matches,
        variable: &'a dyn Fn(&str) -> Option<String>,
    ) -> Self {
        Self {
            role,
            matches,
            variable,
            errors: Vec::new(),
        }
    }

    /// Adds an error from a check outside the reader.
    pub fn fail(&mut self, error: Error) {
        self.errors.push(error);
    }

    /// Returns the settings if no error was collected.
    ///
    /// # Errors
    ///
    /// Returns all collected errors otherwise.
    pub fn finish<T>(self, settings: T) -> Result<T, Vec<Error>> {
        if self.errors.is_empty() {
            Ok(settings)
        } else {
            Err(self.errors)
        }
    }

    /// Reads one address; `default` stands in if there is an error.
    pub fn address(&mut self, name: &str, default: SocketAddr) -> SocketAddr {
        self.read(name, default, |text, kind| {
            let address: SocketAddr = text.parse().ok()?;
            match kind {
                Kind::Address if !is_reachable(address) => None,
                _ => Some(address),
            }
        })
    }

    /// Reads an address that may be empty.
    pub fn optional_address(&mut self, name: &str) -> Option<SocketAddr> {
        self.read(name, None, |text, _| {
            if text.is_empty() {
                return Some(None);
            }
            let address = text.parse().ok();
            address.filter(|one| is_reachable(*one)).map(Some)
        })
    }

    /// Reads addresses separated by commas.
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        self.read(name, Vec::new(), |text, kind| {
            let addresses: Vec<SocketAddr> =
                list(text).map(str::parse).collect::<Result<_, _>>().ok()?;
            match kind {
                Kind::Addresses(min) if addresses.len() < min => None,
                Kind::Addresses(_) if !addresses.iter().all(|one| is_reachable(*one)) => None,
                _ => Some(addresses),
            }
        })
    }

    /// Reads a whole number within the setting's range.
    pub fn number<T: TryFrom<u64> + Default>(&mut self, name: &str) -> T {
        self.read(name, T::default(), |text, kind| {
            let number: u64 = text.parse().ok()?;
            let (Kind::Number { min, max } | Kind::Time { min, max, .. }) = kind else {
                return None;
            };
            let in_range = (min..=max).contains(&number);
            in_range.then(|| T::try_from(number).ok())?
        })
    }

    /// Reads a duration within the setting's range, in the setting's unit.
    pub fn time(&mut self, name: &str) -> Duration {
        self.read(name, Duration::ZERO, |text, kind| match kind {
            Kind::Time { unit, min, max } => {
                let number: u64 = text.parse().ok()?;
                (min..=max).contains(&number).then(|| unit.duration(number))
            }
            _ => None,
        })
    }

    /// Reads a duration that may be empty, within the setting's range.
    pub fn optional_time(&mut self, name: &str) -> Option<Duration> {
        self.read(name, None, |text, kind| match kind {
            Kind::OptionalTime { .. } if text.is_empty() => Some(None),
            Kind::OptionalTime { unit, min, max } => {
                let number: u64 = text.parse().ok()?;
                let is_in_range = (min..=max).contains(&number);
                is_in_range.then(|| Some(unit.duration(number)))
            }
            _ => None,
        })
    }

    /// Reads any text.
    pub fn text(&mut self, name: &str) -> String {
        self.read(name, String::new(), |text, _| Some(text.to_owned()))
    }

    /// Reads one of the setting's words; `default` stands in if there is an
    /// error.
    pub fn choice<T: FromStr>(&mut self, name: &str, default: T) -> T {
        self.read(name, default, |text, kind| match kind {
            Kind::Choice(words) if words.contains(&text) => text.parse().ok(),
            _ => None,
        })
    }

    /// Reads a key of the form `ID:HEX`.
    pub fn key(&mut self, name: &str) -> Option<Key> {
        self.read(name, None, |text, _| read_key(text).map(Some))
    }

    /// Reads keys separated by commas.
    pub fn keys(&mut self, name: &str) -> Vec<Key> {
        self.read(name, Vec::new(), |text, _| {
            list(text).map(read_key).collect()
        })
    }

    /// Reads one setting, or records the error and returns `fallback`.
    fn read<T>(
        &mut self,
        name: &str,
        fallback: T,
        parse: impl FnOnce(&str, Kind) -> Option<T>,
    ) -> T {
        let Some(setting) = self.role.settings().find(|setting| setting.name == name) else {
            return fallback;
        };
        let Some(given) = self.raw_value(setting) else {
            self.errors.push(Error::Missing {
                flag: name.into(),
                variable: setting.variable(),
            });
            return fallback;
        };
        if let Some(value) = parse(&given.text, setting.kind) {
            return value;
        }
        let value = match setting.kind {
            // Secret keys must not appear in the output or in logs.
            Kind::Key | Kind::Keys => "***".into(),
            _ => given.text,
        };
        self.errors.push(Error::Invalid {
            origin: given.origin,
            value,
            expected: expected(setting),
        });
        fallback
    }

    fn raw_value(&self, setting: &Setting) -> Option<RawValue> {
        if let Some(text) = self.matches.opt_str(setting.name) {
            let origin = format!("--{}", setting.name);
            return Some(RawValue { text, origin });
        }
        let origin = setting.variable();
        if let Some(text) = (self.variable)(&origin) {
            return Some(RawValue { text, origin });
        }
        match setting.default {
            Preset::Required => None,
            Preset::Text(text) => Some(RawValue {
                text: text.into(),
                origin: format!("the default of --{}", setting.name),
            }),
        }
    }
}

fn expected(setting: &Setting) -> String {
    let range = setting.kind.range();
    let mut expected = setting.kind.to_string();
    if !range.is_empty() {
        expected = format!("{expected} ({range})");
    }
    if !setting.unit.is_empty() {
        expected = format!("{expected} in {}", setting.unit);
    }
    expected
}

/// Returns true if other processes can send to the address: neither its IP address
/// nor its port is 0.
const fn is_reachable(address: SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}

fn list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

fn read_key(text: &str) -> Option<Key> {
    let (id, hex) = text.split_once(':')?;
    if !hex.is_ascii() || hex.len() != KEY_LEN * HEX_DIGITS_PER_BYTE {
        return None;
    }
    let digits = (0..hex.len()).step_by(HEX_DIGITS_PER_BYTE);
    let bytes = digits.map(|at| u8::from_str_radix(&hex[at..at + HEX_DIGITS_PER_BYTE], HEX_RADIX));
    let secret = bytes.collect::<Result<Vec<u8>, _>>().ok()?;
    Some(Key {
        id: id.parse().ok()?,
        secret: secret.try_into().ok()?,
    })
}
