//! Parameters of requests.
use std::time::Duration;

/// The parameters of a request.
pub(super) struct Query(pub(super) String);

impl Query {
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.pairs().find(|pair| pair.0 == name).map(|pair| pair.1)
    }

    pub(super) fn pairs(&self) -> impl Iterator<Item = (&str, &str)> {
        let parts = self.0.split('&').filter(|part| !part.is_empty());
        parts.map(|part| part.split_once('=').unwrap_or((part, "")))
    }
}

/// Reads a time such as `1500ms` or `10s`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    if let Some(ms) = text.strip_suffix("ms") {
        return ms.parse().ok().map(Duration::from_millis);
    }
    let seconds = text.strip_suffix('s')?;
    seconds.parse().ok().map(Duration::from_secs)
}
