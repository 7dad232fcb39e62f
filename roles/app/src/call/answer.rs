//! Gathers the chunks of one answer.
use bytes::Bytes;
use wire::caller::Chunk;

/// Largest number of chunks that an answer may have.
pub const MAX_CHUNKS: u32 = 16_384;

/// Largest number of chunks that one fetch may name.
const MAX_FETCH: usize = 64;

/// The chunks of one answer that have arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    chunks: Vec<Option<Bytes>>,
    arrived: usize,
}

/// What a chunk did to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It was added; others are missing.
    Partial,
    /// It was the last one missing.
    Complete,
    /// It had arrived before.
    Duplicate,
    /// It contradicts the chunks before it.
    Invalid,
}

impl Answer {
    /// Adds a chunk.
    pub fn add(&mut self, chunk: Chunk) -> Progress {
        if chunk.count == 0 || chunk.count > MAX_CHUNKS || chunk.index >= chunk.count {
            return Progress::Invalid;
        }
        if self.chunks.is_empty() {
            self.chunks = vec![None; chunk.count as usize];
        }
        if self.chunks.len() != chunk.count as usize {
            return Progress::Invalid;
        }
        match &mut self.chunks[chunk.index as usize] {
            Some(payload) if *payload == chunk.payload => Progress::Duplicate,
            Some(_) => Progress::Invalid,
            empty => {
                *empty = Some(chunk.payload);
                self.arrived += 1;
                self.progress()
            }
        }
    }

    /// Whether any chunk has arrived.
    #[must_use]
    pub const fn started(&self) -> bool {
        self.arrived > 0
    }

    /// Indexes of missing chunks, as many as one fetch may name.
    #[must_use]
    pub fn missing(&self) -> Vec<u32> {
        let absent = (0..).zip(&self.chunks).filter(|(_, chunk)| chunk.is_none());
        absent.map(|(index, _)| index).take(MAX_FETCH).collect()
    }

    /// The whole answer, as far as it has arrived.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.chunks.into_iter().flatten().flatten().collect()
    }

    const fn progress(&self) -> Progress {
        if self.arrived == self.chunks.len() {
            Progress::Complete
        } else {
            Progress::Partial
        }
    }
}
