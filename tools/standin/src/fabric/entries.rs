//! Entries that datagrams are forwarded to; they may change while the fabric
//! runs.
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Entries that datagrams are forwarded to.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    addresses: Vec<SocketAddr>,
    file: Option<PathBuf>,
    /// Contents of the file when it was last read.
    contents: String,
}

impl Entries {
    /// Starts with the given addresses. Those of `file` replace them once the
    /// file can be read.
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

    /// Reads the file again. If a line is not an address, the whole file is
    /// ignored and the entries stay.
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

    /// Returns a random entry, or `None` if there are none.
    #[must_use]
    pub fn choose(&self, random: &mut fastrand::Rng) -> Option<SocketAddr> {
        random.choice(&self.addresses).copied()
    }
}
