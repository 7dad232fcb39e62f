//! Settings of `greengagelug agent`.
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ServiceAddress;
use wire::ZoneId;

use crate::settings::Keys;
use crate::settings::Log;
use crate::settings::command;
use crate::settings::command::Settings;
use crate::settings::reader::Reader;
use crate::settings::table::Role;

/// Settings of `greengagelug agent`.
#[derive(Clone)]
pub struct Agent {
    /// UDP address for frames; others reach the agent here.
    pub listen: SocketAddr,
    /// TCP address for calls between processes.
    pub control: SocketAddr,
    /// Address that callers of the service send to.
    pub service: ServiceAddress,
    /// HTTP address of the backend server beside the agent.
    pub backend: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Requests that the backend server runs at a time.
    pub slots: u16,
    /// UDP addresses of entries to announce to.
    pub seeds: Vec<SocketAddr>,
    /// Keys shared by the processes of the installation.
    pub keys: Keys,
    /// Longest time between SIGTERM and exit.
    pub stop: Duration,
    /// Time between two log lines with all metrics; zero for none.
    pub metrics: Duration,
    /// What is logged.
    pub log: Log,
}

impl Default for Agent {
    fn default() -> Self {
        let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: unset,
            control: unset,
            service: unset,
            backend: unset,
            zone: 0,
            slots: 4,
            seeds: Vec::new(),
            keys: Keys::default(),
            stop: Duration::from_secs(10),
            metrics: Duration::from_mins(1),
            log: Log::default(),
        }
    }
}

impl Settings for Agent {
    const ROLE: Role = Role::Agent;

    fn read(reader: &mut Reader<'_>, rest: &[String]) -> Self {
        let default = Self::default();
        let settings = Self {
            listen: reader.address("listen", default.listen),
            control: reader.address("control", default.control),
            service: reader.address("service", default.service),
            backend: reader.address("backend", default.backend),
            zone: reader.number("zone"),
            slots: reader.number("slots"),
            seeds: reader.addresses("seeds"),
            keys: command::keys(reader),
            stop: reader.time("stop"),
            metrics: reader.time("metrics-interval"),
            log: command::log(reader),
        };
        command::distinct(
            reader,
            command::Named {
                flag: "control",
                address: settings.control,
            },
            command::Named {
                flag: "backend",
                address: settings.backend,
            },
        );
        command::distinct(
            reader,
            command::Named {
                flag: "listen",
                address: settings.listen,
            },
            command::Named {
                flag: "service",
                address: settings.service,
            },
        );
        command::no_arguments(reader, rest);
        settings
    }
}
