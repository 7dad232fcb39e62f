//! Settings of `greengagelug entry`.
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ZoneId;

use crate::settings::Keys;
use crate::settings::Log;
use crate::settings::command;
use crate::settings::command::Settings;
use crate::settings::reader::Reader;
use crate::settings::table::Role;

/// Settings of `greengagelug entry`.
#[derive(Clone)]
pub struct Entry {
    /// UDP address for frames, at which other processes reach the entry, and for
    /// the packets that the fabric distributes over the entries.
    pub listen: SocketAddr,
    /// TCP address of the operators' gRPC server.
    pub operator: SocketAddr,
    /// UDP address of a fabric that encapsulates callers' datagrams; without one
    /// the entry binds the service addresses itself.
    pub fabric: Option<SocketAddr>,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// UDP addresses of other entries through which this one joins the gossip.
    pub peers: Vec<SocketAddr>,
    /// TCP address of the platform's key-value service.
    pub store: SocketAddr,
    /// Keys shared by the processes of the installation.
    pub keys: Keys,
    /// Number of threads that relay packets.
    pub threads: u16,
    /// Longest time from SIGTERM to exit.
    pub stop: Duration,
    /// Interval of the log lines with all metrics; zero disables them.
    pub metrics_interval: Duration,
    /// Format and level of the log.
    pub log: Log,
}

impl Default for Entry {
    fn default() -> Self {
        let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: unset,
            operator: unset,
            fabric: None,
            zone: 0,
            peers: Vec::new(),
            store: unset,
            keys: Keys::default(),
            threads: 1,
            stop: Duration::from_secs(10),
            metrics_interval: Duration::from_mins(1),
            log: Log::default(),
        }
    }
}

impl Settings for Entry {
    const ROLE: Role = Role::Entry;

    fn read(reader: &mut Reader<'_>, rest: &[String]) -> Self {
        let default = Self::default();
        let settings = Self {
            listen: reader.address("listen", default.listen),
            operator: reader.address("operator", default.operator),
            fabric: reader.optional_address("fabric"),
            zone: reader.number("zone"),
            peers: reader.addresses("peers"),
            store: reader.address("store", default.store),
            keys: command::keys(reader),
            threads: reader.number("threads"),
            stop: reader.time("stop"),
            metrics_interval: reader.time("metrics-interval"),
            log: command::log(reader),
        };
        if let Some(fabric) = settings.fabric {
            command::check_distinct(
                reader,
                command::Endpoint {
                    flag: "listen",
                    address: settings.listen,
                },
                command::Endpoint {
                    flag: "fabric",
                    address: fabric,
                },
            );
        }
        command::check_no_arguments(reader, rest);
        settings
    }
}
