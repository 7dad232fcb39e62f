//! Settings of `greengagelug operate`.
use std::net::SocketAddr;
use std::time::Duration;

use crate::settings::Error;
use crate::settings::command::Settings;
use crate::settings::reader::Reader;
use crate::settings::table::Role;

/// Settings of `greengagelug operate`.
#[derive(Clone, Debug)]
pub struct Operate {
    /// Operator addresses of entries, tried in order until one answers.
    pub entries: Vec<SocketAddr>,
    /// Longest time to wait for each entry.
    pub timeout: Duration,
    /// The command and its arguments.
    pub command: Vec<String>,
}

impl Default for Operate {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            timeout: Duration::from_secs(10),
            command: Vec::new(),
        }
    }
}

impl Settings for Operate {
    const ROLE: Role = Role::Operate;

    fn read(reader: &mut Reader<'_>, rest: &[String]) -> Self {
        if rest.is_empty() {
            reader.fail(Error::NoCommand);
        }
        Self {
            entries: reader.addresses("entries"),
            timeout: reader.time("timeout"),
            command: rest.to_vec(),
        }
    }
}
