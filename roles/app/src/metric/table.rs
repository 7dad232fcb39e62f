//! The table of all metrics, from which docs/METRICS.md is made.

/// How a metric behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only rises while the process runs.
    Counter,
    /// Rises and falls.
    Gauge,
    /// Counts values in buckets.
    Histogram,
}

/// One metric of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name of the metric.
    pub name: &'static str,
    /// How it behaves.
    pub kind: Kind,
    /// Unit, in the notation of UCUM.
    pub unit: &'static str,
    /// What it counts.
    pub help: &'static str,
}

const fn counter(name: &'static str, unit: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Counter;
    Metric {
        name,
        kind,
        unit,
        help,
    }
}

const fn gauge(name: &'static str, unit: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Gauge;
    Metric {
        name,
        kind,
        unit,
        help,
    }
}

const fn histogram(name: &'static str, unit: &'static str, help: &'static str) -> Metric {
    let kind = Kind::Histogram;
    Metric {
        name,
        kind,
        unit,
        help,
    }
}

/// All metrics.
#[rustfmt::skip]
pub const METRICS: &[Metric] = &[
    // Both daemons.
    counter("port.received", "{datagram}", "datagrams received by UDP"),
    counter("port.received_bytes", "By", "their size"),
    counter("port.sent", "{datagram}", "datagrams sent by UDP"),
    counter("port.sent_bytes", "By", "their size"),
    counter("port.refused", "{datagram}", "datagrams that were not accepted, by reason"),
    counter("port.send_failed", "{datagram}", "datagrams that the kernel did not take"),
    counter("packets.refused", "{packet}", "packets and frames that were refused or ignored, by reason"),
    // Entries.
    counter("packets.relayed", "{packet}", "callers' packets relayed to agents"),
    counter("packets.replied", "{packet}", "packets returned to callers"),
    counter("control.sent", "{message}", "messages of the membership protocol sent"),
    counter("control.sent_bytes", "By", "their size, with headers"),
    counter("control.received", "{message}", "messages of the membership protocol received"),
    counter("control.received_bytes", "By", "their size, with headers"),
    counter("control.refused", "{message}", "messages of the membership protocol not taken, by reason"),
    counter("control.suspicions", "{suspicion}", "suspicions that this entry stated"),
    counter("control.self_doubts", "1", "times that this entry doubted itself"),
    gauge("services", "{service}", "services that this entry knows"),
    gauge("targets", "{target}", "backend servers that this entry knows"),
    gauge("targets.silent", "{target}", "of these, held down or doubted"),
    gauge("entries", "{entry}", "entries that this entry knows, itself included"),
    gauge("zones.lost", "{zone}", "availability zones held to be lost"),
    gauge("revision", "1", "largest revision of the configuration in force here"),
    // Agents.
    gauge("flows", "{flow}", "flows held"),
    gauge("flows.bytes", "By", "memory of the flow table"),
    gauge("flows.parked", "{flow}", "flows kept for the successors of other agents"),
    counter("flows.opened", "{flow}", "flows opened"),
    counter("flows.ended", "{flow}", "flows ended, by reason"),
    counter("flows.inherited", "{flow}", "flows inherited from a predecessor, or adopted"),
    counter("opens.passed", "{packet}", "opens passed on to another agent"),
    counter("packets.handed_along", "{packet}", "packets handed to another agent"),
    gauge("pins", "{flow}", "flows held elsewhere that have their home here"),
    gauge("pins.bytes", "By", "memory of the pins"),
    counter("pins.refused", "{flow}", "pins that were not kept, by reason"),
    gauge("records", "{request}", "request records"),
    gauge("records.bytes", "By", "memory of the records and their answers"),
    gauge("requests", "{request}", "requests queued, running or passed"),
    gauge("requests.wait", "ms", "expected wait of a request that comes now"),
    counter("requests.admitted", "{request}", "requests admitted"),
    counter("requests.repeated", "{request}", "repeats that got the recorded answer, or wait for it"),
    counter("requests.answered", "{request}", "requests answered"),
    counter("requests.refused", "{request}", "requests and opens refused, by reason"),
    counter("requests.retried", "{request}", "requests tried again or passed on, by reason"),
    counter("retries.refused", "{request}", "tries that were not made, by reason"),
    counter("offers.taken", "{request}", "requests of other agents that were taken"),
    counter("offers.refused", "{request}", "requests of other agents that were refused"),
    // Gateways and sidecars.
    counter("carried.flows.opened", "{flow}", "flows that a gateway sent to an agent"),
    counter("carried.flows.taken", "{flow}", "flows that a sidecar gave its backend server"),
    counter("carried.flows.passed", "{flow}", "opening packets that a sidecar passed to another"),
    counter("carried.flows.reset", "{flow}", "flows that were refused or ended, by reason"),
    counter("carried.requests.failed", "{request}", "requests that a backend server reset or did not answer in time"),
    counter("carried.searches", "{flow}", "searches for the holder of a flow"),
    counter("carried.searches.ended", "{flow}", "searches that ended, by outcome"),
    counter("carried.tries", "{packet}", "packets of unknown flows tried at the backend server"),
    counter("carried.returned", "{packet}", "packets that the backend server handed back"),
    counter("carried.packets", "{packet}", "packets carried, by direction"),
    counter("carried.dropped", "{packet}", "packets dropped, by reason"),
    counter("carried.servers.ended", "{server}", "backend servers that ended beside a sidecar"),
    gauge("carried.flows", "{flow}", "flows that are remembered or held"),
    gauge("carried.version", "1", "version of the configuration in force"),
    gauge("carried.running", "{request}", "requests that run or wait at the backend server"),
    gauge("store.calls", "{call}", "calls of the store, by kind"),
    histogram("carried.open.time", "us", "from an opening packet to the word of its holder"),
    histogram("carried.search.time", "us", "from a search to the word of the holder"),
    histogram("carried.request.time", "us", "from a request to the first packet of its answer"),
    // Agents.
    gauge("weight", "{request}/s", "learned capacity, as announced"),
];
