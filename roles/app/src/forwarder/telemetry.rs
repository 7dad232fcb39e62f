//! Log, counters and latency histograms of a gateway or sidecar.
use opentelemetry::metrics::Histogram;

use crate::forwarder::event::Limiter;
use crate::metric::Error;
use crate::metric::Instruments;
use crate::metric::forwarder::Counts;

/// Log, counters and latency histograms of the decisions on flows and packets.
pub struct Telemetry {
    /// Rate-limited log.
    pub limiter: Limiter,
    /// The counters.
    pub counts: Counts,
    /// Microseconds from the last copy of an opening packet to the holder's
    /// confirmation.
    pub open_time: Histogram<u64>,
    /// Microseconds from the last search message to the holder's answer.
    pub search_time: Histogram<u64>,
    /// Microseconds from a request to the first packet of its answer.
    pub request_time: Histogram<u64>,
    /// Microseconds for which a datagram waited for room on the network link.
    pub link_time: Histogram<u64>,
    /// Microseconds from the first packet of a flow that has ended to its reset.
    pub ended_time: Histogram<u64>,
}

impl Telemetry {
    /// Creates an empty log limiter and counters, with histograms that belong to
    /// `instruments`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] if a histogram is not in the table of metrics.
    pub fn new(instruments: &Instruments) -> Result<Self, Error> {
        Ok(Self {
            limiter: Limiter::default(),
            counts: Counts::default(),
            open_time: instruments.histogram("carried.open.time")?,
            search_time: instruments.histogram("carried.search.time")?,
            request_time: instruments.histogram("carried.request.time")?,
            link_time: instruments.histogram("carried.link.wait")?,
            ended_time: instruments.histogram("carried.ended.time")?,
        })
    }
}
