//! Settings of `greengagelug gateway` and `greengagelug sidecar`.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::settings::Keys;
use crate::settings::Log;
use crate::settings::command;
use crate::settings::command::Settings;
use crate::settings::reader::Reader;
use crate::settings::table::Role;

/// Settings common to both roles.
#[derive(Clone)]
pub struct Forwarder {
    /// Path of the settings file that the platform writes for the process.
    pub boot: PathBuf,
    /// UDP address to bind for frames if other processes reach this one at a
    /// different address, as behind network address translation.
    pub bind: Option<SocketAddr>,
    /// Keys shared by the processes of the installation.
    pub keys: Keys,
    /// TCP port of the metrics endpoint, on the host's address.
    pub metrics_port: u16,
    /// Cost of sending a flow to another availability zone; `None` derives it, and at
    /// a sidecar, which takes the cost from the gateway's frames.
    pub crossing_cost: Option<Duration>,
    /// Format and level of the log.
    pub log: Log,
}

/// Settings of `greengagelug gateway`.
#[derive(Clone)]
pub struct Gateway(pub Forwarder);

/// Settings of `greengagelug sidecar`.
#[derive(Clone)]
pub struct Sidecar(pub Forwarder);

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

fn read(reader: &mut Reader<'_>, rest: &[String]) -> Forwarder {
    let forwarder = Forwarder {
        boot: reader.text("boot").into(),
        bind: reader.optional_address("bind"),
        keys: command::keys(reader),
        metrics_port: reader.number("metrics-port"),
        crossing_cost: reader.optional_time("crossing-cost"),
        log: command::log(reader),
    };
    command::check_no_arguments(reader, rest);
    forwarder
}
