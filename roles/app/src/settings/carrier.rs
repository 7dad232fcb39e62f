//! Settings of `greengagelug gateway` and `greengagelug sidecar`.
use std::path::PathBuf;
use std::time::Duration;

use crate::settings::Keys;
use crate::settings::Log;
use crate::settings::command;
use crate::settings::command::Settings;
use crate::settings::reader::Reader;
use crate::settings::table::Role;

/// What both roles have in common.
#[derive(Clone)]
pub struct Carrier {
    /// The settings file that the platform writes for the process.
    pub boot: PathBuf,
    /// Keys shared by the processes of the installation.
    pub keys: Keys,
    /// Time between two log lines with all metrics; zero for none.
    pub metrics: Duration,
    /// What is logged.
    pub log: Log,
}

/// Settings of `greengagelug gateway`.
#[derive(Clone)]
pub struct Gateway(pub Carrier);

/// Settings of `greengagelug sidecar`.
#[derive(Clone)]
pub struct Sidecar(pub Carrier);

impl Settings for Gateway {
    const ROLE: Role = Role::Gateway;

    fn read(reader: &mut Reader<'_>, rest: &[String]) -> Self {
        Self(read(reader, rest))
    }
}

impl Settings for Sidecar {
    const ROLE: Role = Role::Sidecar;

    fn read(reader: &mut Reader<'_>, rest: &[String]) -> Self {
        Self(read(reader, rest))
    }
}

fn read(reader: &mut Reader<'_>, rest: &[String]) -> Carrier {
    let carrier = Carrier {
        boot: reader.text("boot").into(),
        keys: command::keys(reader),
        metrics: reader.time("metrics-interval"),
        log: command::log(reader),
    };
    command::no_arguments(reader, rest);
    carrier
}
