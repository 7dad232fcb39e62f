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
    /// UDP address for frames, at which other processes reach the agent.
    pub listen: SocketAddr,
    /// TCP address for calls between agents.
    pub control: SocketAddr,
    /// Service address, to which callers send.
    pub service: ServiceAddress,
    /// HTTP address of the backend server next to the agent.
    pub backend: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Largest number of requests that the backend server runs concurrently.
    pub slots: u16,
    /// UDP addresses of entries to which the agent announces itself first.
    pub seeds: Vec<SocketAddr>,
    /// Keys shared by the processes of the installation.
    pub keys: Keys,
    /// Longest time from SIGTERM to exit.
    pub stop: Duration,
    /// Interval of the log lines with all metrics; zero disables them.
    pub metrics_interval: Duration,
    /// Format and level of the log.
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
            metrics_interval: Duration::from_mins(1),
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
            metrics_interval: reader.time("metrics-interval"),
            log: command::log(reader),
        };
        command::check_distinct(
            reader,
            command::Endpoint {
                flag: "control",
                address: settings.control,
            },
            command::Endpoint {
                flag: "backend",
                address: settings.backend,
            },
        );
        command::check_distinct(
            reader,
            command::Endpoint {
                flag: "listen",
                address: settings.listen,
            },
            command::Endpoint {
                flag: "service",
                address: settings.service,
            },
        );
        command::check_no_arguments(reader, rest);
        settings
    }
}
