//! Settings of `greengagelug call`.
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use wire::ServiceAddress;

use crate::settings::command;
use crate::settings::command::Settings;
use crate::settings::reader::Reader;
use crate::settings::table::Role;

/// Settings of `greengagelug call`.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service address.
    pub service: ServiceAddress,
    /// Name that the service's backend servers echo; empty to accept any.
    pub name: String,
    /// Local UDP address.
    pub bind: SocketAddr,
    /// Number of flows kept open.
    pub flows: u32,
    /// Requests per second over all flows.
    pub rate: u32,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Share of requests that are idempotent, in percent.
    pub idempotent: u8,
    /// Longest time that each operation may take, retries included.
    pub deadline: Duration,
    /// Smallest size of a request's payload in bytes.
    pub payload: u32,
    /// File that the report is written to as JSON; empty for none.
    pub output: String,
    /// File that the latency plot is written to as SVG; empty for none.
    pub plot: String,
    /// Seed of all random choices; 0 for a random seed.
    pub seed: u64,
}

impl Default for Call {
    fn default() -> Self {
        let unset = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            service: unset,
            name: String::new(),
            bind: unset,
            flows: 100,
            rate: 100,
            duration: Duration::from_secs(10),
            idempotent: 50,
            deadline: Duration::from_secs(5),
            payload: 64,
            output: String::new(),
            plot: String::new(),
            seed: 0,
        }
    }
}

impl Settings for Call {
    const ROLE: Role = Role::Call;

    fn read(reader: &mut Reader<'_>, rest: &[String]) -> Self {
        let default = Self::default();
        let settings = Self {
            service: reader.address("service", default.service),
            name: reader.text("name"),
            bind: reader.address("bind", default.bind),
            flows: reader.number("flows"),
            rate: reader.number("rate"),
            duration: reader.time("duration"),
            idempotent: reader.number("idempotent"),
            deadline: reader.time("deadline"),
            payload: reader.number("payload"),
            output: reader.text("output"),
            plot: reader.text("plot"),
            seed: reader.number("seed"),
        };
        command::check_no_arguments(reader, rest);
        settings
    }
}
