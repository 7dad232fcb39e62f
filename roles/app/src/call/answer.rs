//! Reassembly of one answer from its chunks.
use bytes::Bytes;
use wire::caller::Chunk;

/// Largest number of chunks that an answer may have.
pub const MAX_CHUNKS: u32 = 16_384;

/// Largest number of chunks that one fetch requests.
const MAX_FETCH_CHUNKS: usize = 64;

/// The chunks of one answer received so far.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    chunks: Vec<Option<Bytes>>,
    arrived: usize,
}

/// Result of adding a chunk to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The chunk was added; others are still missing.
    Partial,
    /// The chunk was added and completes the answer.
    Complete,
    /// The same chunk was received before.
    Duplicate,
    /// The chunk is malformed or contradicts earlier chunks.
    Invalid,
}

impl Answer {
    /// Adds a chunk.
    ///
    /// The first chunk fixes the number of chunks; a later one with another
    /// count, or with another payload under the same index, is invalid.
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

    /// Returns true if any chunk has been received.
    #[must_use]
    pub const fn has_chunks(&self) -> bool {
        self.arrived > 0
    }

    /// Returns the indexes of the first missing chunks, at most as many as one
    /// fetch may request.
    #[must_use]
    pub fn missing(&self) -> Vec<u32> {
        let missing = (0..).zip(&self.chunks).filter(|(_, chunk)| chunk.is_none());
        missing
            .map(|(index, _)| index)
            .take(MAX_FETCH_CHUNKS)
            .collect()
    }

    /// Returns the received chunks in order, concatenated; this is the whole
    /// answer once `add` has returned `Progress::Complete`.
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
