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
    counter("carried.searches.widened", "{flow}", "searches that a gateway extended to all services, as the route may have named another one before its start"),
    counter("carried.holders.replaced", "{flow}", "flows that were taken to be held by another sidecar than the recorded one"),
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
    counter("carried.class.too_late", "{flow}", "new flows refused because they could not be answered before their callers give up, by priority"),
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
    gauge("carried.evacuation.revision", "1", "revision of the store since which an availability zone is evacuated at a gateway, by zone; 0 once it is restored"),
    gauge("carried.evacuation.since", "s", "time at which a gateway learned that an availability zone is evacuated, since the Unix epoch, by zone; 0 once it is restored"),
    gauge("carried.evacuation.uncovered", "{service}", "services of which all backend servers that a gateway knows are in evacuated zones"),
    counter("carried.evacuation.accepted", "{flow}", "flows that an agent of an evacuated zone accepted or held as its gateway already knew of the evacuation"),
    counter("carried.evacuation.passed", "{packet}", "opening packets that a sidecar forwarded because its zone is evacuated"),
    counter("carried.sent_bytes", "By", "size of the datagrams sent, by kind and by whether they cross between availability zones, and of the calls to the store without headers; not of the packets to the own backend server"),
    counter("carried.link.sent", "{packet}", "packets sent over a network link whose rate is stated, by class"),
    counter("carried.link.queued", "{packet}", "packets that waited for room on the network link, by class"),
    counter("carried.link.copies", "{packet}", "copies that took the place of a packet that waited for room on the network link, by class"),
    counter("carried.link.full", "{packet}", "packets dropped because too many of their class waited, by class"),
    counter("carried.link.late", "{packet}", "packets dropped because they had waited too long for room on the network link, by class"),
    gauge("carried.link.rate", "By/s", "rate of the network link that is used at most; decreases while the kernel does not accept packets"),
    gauge("carried.link.load", "By/s", "bytes per second that were to be sent over the network link"),
    counter("carried.rotation.changes", "{change}", "times that a gateway left the rotation of its zone because its network link stayed full, or rejoined it"),
    histogram("carried.link.wait", "us", "time for which packets waited for room on the network link"),
    // Gateways and sidecars: flows whose server has ended.
    counter("carried.batches", "{batch}", "searches for the holders of many flows at a gateway, by outcome"),
    counter("carried.flows.ended", "{flow}", "flows that a gateway found to have ended, by kind of proof"),
    counter("carried.flows.undecided", "{flow}", "flows that a gateway dropped undecided when their callers gave up"),
    gauge("carried.undecided", "{flow}", "flows that a gateway keeps because their holder is unknown"),
    histogram("carried.ended.time", "us", "time from the first packet of a flow that has ended to its reset"),
    // Placement of gateways.
    counter("carried.flows.placed", "{flow}", "flows that a gateway sent to a server, by reason and zone: home, overflow, home_has_none"),
    gauge("carried.route.requests", "{request}", "learned mean number of requests of a flow, by the address that callers send to"),
    gauge("carried.route.bytes", "By", "learned mean bytes of a request and its answer, by the address that callers send to"),
    // Agents.
    gauge("weight", "{request}/s", "learned capacity, as announced"),
];
