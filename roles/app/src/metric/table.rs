//! The table of all metrics, from which docs/METRICS.md is generated.

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Value that never decreases while the process runs.
    Counter,
    /// Value that may increase and decrease.
    Gauge,
    /// Distribution of values, counted in buckets.
    Histogram,
}

/// Definition of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name of the metric.
    pub name: &'static str,
    /// Kind of the metric.
    pub kind: Kind,
    /// Unit in UCUM notation.
    pub unit: &'static str,
    /// Meaning, as shown to operators.
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
    // Entries; agents report `packets.refused` too.
    counter("port.received", "{datagram}", "UDP datagrams received"),
    counter("port.received_bytes", "By", "size of the UDP datagrams received"),
    counter("port.sent", "{datagram}", "UDP datagrams sent"),
    counter("port.sent_bytes", "By", "size of the UDP datagrams sent"),
    counter("port.refused", "{datagram}", "received datagrams that were rejected, by reason"),
    counter("port.send_failed", "{datagram}", "datagrams that the kernel did not accept for sending"),
    counter("packets.refused", "{packet}", "packets and frames that were refused or ignored, by reason"),
    // Entries.
    counter("packets.relayed", "{packet}", "packets of callers relayed to agents"),
    counter("packets.replied", "{packet}", "packets returned to callers"),
    counter("control.sent", "{message}", "messages of the membership protocol sent"),
    counter("control.sent_bytes", "By", "size of the membership messages sent, with headers"),
    counter("control.received", "{message}", "messages of the membership protocol received"),
    counter("control.received_bytes", "By", "size of the membership messages received, with headers"),
    counter("control.refused", "{message}", "messages of the membership protocol rejected or not acted on, by reason"),
    counter("control.suspicions", "{suspicion}", "suspicions that this entry stated about other processes"),
    counter("control.self_doubts", "1", "times that this entry suspected itself, because its timer was late or it lost most of the processes that it watches"),
    gauge("services", "{service}", "services that this entry knows"),
    gauge("targets", "{target}", "backend servers that this entry knows"),
    gauge("targets.silent", "{target}", "backend servers that are suspected or marked down"),
    gauge("entries", "{entry}", "entries that this entry knows, itself included"),
    gauge("zones.lost", "{zone}", "availability zones that count as lost"),
    gauge("revision", "1", "largest revision of a service configuration in force here"),
    // Agents.
    gauge("flows", "{flow}", "flows held"),
    gauge("flows.bytes", "By", "memory of the flow table"),
    gauge("flows.parked", "{flow}", "flows stored for the successors of other agents"),
    counter("flows.opened", "{flow}", "flows opened"),
    counter("flows.ended", "{flow}", "flows ended, by reason"),
    counter("flows.inherited", "{flow}", "flows inherited from a predecessor, or adopted"),
    counter("opens.passed", "{packet}", "opening packets forwarded to another agent"),
    counter("packets.handed_along", "{packet}", "misrouted packets forwarded to another agent"),
    gauge("pins", "{flow}", "flows held elsewhere whose home is this agent"),
    gauge("pins.bytes", "By", "memory of the pins"),
    counter("pins.refused", "{flow}", "pins that were not stored, by reason"),
    gauge("records", "{request}", "records of requests, kept to answer retransmissions"),
    gauge("records.bytes", "By", "memory of the records and their answers"),
    gauge("requests", "{request}", "requests that are queued, running or forwarded to another agent"),
    gauge("requests.wait", "ms", "expected wait of a request that arrives now"),
    counter("requests.admitted", "{request}", "requests admitted"),
    counter("requests.repeated", "{request}", "retransmitted requests that got the recorded answer or wait for it"),
    counter("requests.answered", "{request}", "requests answered"),
    counter("requests.refused", "{request}", "requests and opening packets refused, by reason"),
    counter("requests.retried", "{request}", "requests retried or forwarded to another agent, by reason"),
    counter("retries.refused", "{request}", "retries that were not made, by reason"),
    counter("offers.taken", "{request}", "requests offered by other agents that were accepted"),
    counter("offers.refused", "{request}", "requests offered by other agents that were refused"),
    // Gateways and sidecars.
    counter("carried.flows.opened", "{flow}", "flows that a gateway sent to an agent"),
    counter("carried.flows.taken", "{flow}", "flows that a sidecar accepted for its backend server"),
    counter("carried.flows.waited", "{flow}", "flows that a sidecar held back until its backend server had room"),
    counter("carried.flows.passed", "{flow}", "opening packets that a sidecar forwarded to another agent"),
    counter("carried.flows.reset", "{flow}", "flows refused or ended by a reset to the caller, by reason"),
    counter("carried.requests.failed", "{request}", "requests that a backend server reset or did not answer in time"),
    counter("carried.requests.implausible", "{request}", "answers that came far sooner and were far shorter than usual, counted as failures"),
    counter("carried.searches", "{flow}", "searches for the holder of a flow"),
    counter("carried.searches.ended", "{flow}", "searches that ended, by outcome"),
    counter("carried.tries", "{packet}", "packets of unknown flows delivered to the backend server as probes"),
    counter("carried.returned", "{packet}", "packets that the backend server returned because it does not hold their flow"),
    counter("carried.packets", "{packet}", "packets forwarded, by direction"),
    counter("carried.repeated", "{packet}", "callers' packets at a sidecar that carried only content seen before; rises with loss on the way"),
    counter("carried.dropped", "{packet}", "packets dropped, by reason"),
    counter("carried.servers.ended", "{server}", "backend servers of a sidecar that ended"),
    gauge("carried.flows", "{flow}", "flows that a gateway remembers or a sidecar holds"),
    gauge("carried.version", "1", "version of the configuration in force at a gateway"),
    gauge("carried.running", "{request}", "requests that run or wait at the backend server"),
    counter("carried.class.arrived", "{packet}", "opening packets that reached a sidecar, by priority"),
    counter("carried.class.admitted", "{flow}", "new flows that a sidecar admitted, by priority"),
    counter("carried.class.waited", "{flow}", "new flows that a sidecar held back, by priority"),
    counter("carried.class.wait", "ms", "time that admitted flows had waited at a sidecar, by priority"),
    counter("carried.class.hopeless", "{flow}", "new flows refused because they could not be answered before their callers give up, by priority"),
    counter("carried.class.elsewhere", "{flow}", "new flows refused because they would be answered late and another server can take them sooner, by priority"),
    counter("carried.class.expired", "{flow}", "new flows that waited at a sidecar until their callers gave up, by priority"),
    counter("carried.class.refused", "{flow}", "new flows that a gateway refused because no backend server has capacity for their class, by priority"),
    counter("carried.class.trials", "{flow}", "new flows of a refused class that a gateway sent to find out when capacity returns, by priority"),
    gauge("carried.cold", "{flow}/s", "new flows that a cold backend server gets at most in any one second; 0 if it is warm"),
    gauge("store.calls", "{call}", "calls to the store, by kind"),
    gauge("store.restores", "{restore}", "restores of the store from an older copy that this process has seen"),
    histogram("carried.open.time", "us", "time from the last copy of an opening packet to the holder's confirmation"),
    histogram("carried.search.time", "us", "time from the last search message to the holder's answer"),
    histogram("carried.request.time", "us", "time from a request to the first packet of its answer"),
    // Agents.
    gauge("weight", "{request}/s", "learned capacity, as announced"),
];
