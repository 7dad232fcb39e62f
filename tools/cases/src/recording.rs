//! Bytes that an earlier build encoded.
use std::collections::BTreeMap;

/// Values that one build encoded. Each line of the text has a name and hexadecimal bytes.
///
/// ```
/// let recording = cases::Recording::parse("ack 01\nprobe 02ff\n");
/// assert_eq!(recording.bytes("probe"), [2, 255]);
/// ```
#[derive(Clone, Debug)]
pub struct Recording {
    encoded: BTreeMap<String, String>,
}

impl Recording {
    /// Reads a recording.
    ///
    /// # Panics
    ///
    /// Panics if a line has no name or no bytes.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let values = text.lines().map(|line| line.split_once(' ').unwrap());
        let values = values.map(|(name, bytes)| (name.to_owned(), bytes.to_owned()));
        Self {
            encoded: values.collect(),
        }
    }

    /// Returns the names of the values.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.encoded.keys().map(String::as_str)
    }

    /// Returns the bytes of a value.
    ///
    /// # Panics
    ///
    /// Panics if there is no such value, or its text is not hexadecimal.
    #[must_use]
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let text = self.encoded[name].as_bytes();
        let digits = text.chunks(2).map(|pair| str::from_utf8(pair).unwrap());
        digits
            .map(|pair| u8::from_str_radix(pair, 16).unwrap())
            .collect()
    }
}
