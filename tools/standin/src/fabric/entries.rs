//! The entries that datagrams are handed to; may change while the fabric runs.
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The entries that datagrams are handed to.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    addresses: Vec<SocketAddr>,
    file: Option<PathBuf>,
    contents: String,
}

impl Entries {
    /// Starts with the given addresses, replaced by those of `file` once it
    /// can be read.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, file: Option<PathBuf>) -> Self {
        let mut entries = Self {
            addresses,
            file,
            contents: String::new(),
        };
        entries.reload();
        entries
    }

    /// Reads the file again. One with a line that is no address is ignored as
    /// a whole.
    pub fn reload(&mut self) {
        let text = self
            .file
            .as_ref()
            .and_then(|file| fs::read_to_string(file).ok());
        let Some(text) = text.filter(|text| *text != self.contents) else {
            return;
        };
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        if let Ok(addresses) = lines.map(str::parse).collect() {
            self.addresses = addresses;
        }
        self.contents = text;
    }

    /// Picks an entry at random, or `None` where there is none.
    #[must_use]
    pub fn choose(&self, random: &mut fastrand::Rng) -> Option<SocketAddr> {
        random.choice(&self.addresses).copied()
    }
}
