//! Query parameters of requests.
use std::time::Duration;

/// Query string of a request.
pub(super) struct Query(pub(super) String);

impl Query {
    /// Returns the value of the first parameter with this name.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.pairs().find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    /// Returns the names and values of all parameters; the value is empty if
    /// there is none.
    pub(super) fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        let parts = self.0.split('&').filter(|part| !part.is_empty());
        parts.map(|part| part.split_once('=').unwrap_or((part, "")))
    }
}

/// Parses a duration such as `1500ms` or `10s`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    let seconds = text.strip_suffix('s')?;
    seconds.parse().ok().map(Duration::from_secs)
}
