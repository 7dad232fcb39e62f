//! Logs, counts and times what a gateway or sidecar does.
use opentelemetry::metrics::Histogram;

use crate::carried::event::Journal;
use crate::metric::Board;
use crate::metric::Error;
use crate::metric::carried::Counts;

/// Where decisions are logged, counted and timed.
pub struct Report {
    /// The log.
    pub journal: Journal,
    /// The counters.
    pub counts: Counts,
    /// From an opening packet to the word of its holder.
    pub open_time: Histogram<u64>,
    /// From a search to the word of the holder.
    pub search_time: Histogram<u64>,
    /// From a request to the first packet of its answer.
    pub request_time: Histogram<u64>,
}

impl Report {
    /// Reports to the histograms of a board.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the table of metrics lacks one.
    pub fn new(board: &Board) -> Result<Self, Error> {
        Ok(Self {
            journal: Journal::default(),
            counts: Counts::default(),
            open_time: board.histogram("carried.open.time")?,
            search_time: board.histogram("carried.search.time")?,
            request_time: board.histogram("carried.request.time")?,
        })
    }
}
