//! Splits an answer into chunks that the caller can request individually and
//! repeatedly.
use bytes::Bytes;
use wire::RequestId;
use wire::caller::Chunk;

/// Maximum payload of a chunk, in bytes; a chunk fits into one datagram on
/// common links.
pub const CHUNK_BYTES: usize = 1_200;

/// Maximum size of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The complete answer to a request.
///
/// ```
/// let answer = flow::Answer::new(vec![7; 1_201].into()).unwrap();
/// assert_eq!(answer.count(), 2);
/// assert_eq!(answer.chunk(9, 1).unwrap().payload, vec![7]);
/// assert!(answer.chunk(9, 2).is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer(Bytes);

impl Answer {
    /// Wraps an answer, or returns `None` if it is larger than
    /// [`MAX_ANSWER_BYTES`].
    #[must_use]
    pub fn new(bytes: Bytes) -> Option<Self> {
        (bytes.len() <= MAX_ANSWER_BYTES).then_some(Self(bytes))
    }

    /// Returns the answer's bytes.
    #[must_use]
    pub const fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns the number of chunks, at least 1.
    #[must_use]
    pub fn count(&self) -> u32 {
        let count = self.0.len().div_ceil(CHUNK_BYTES).max(1);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns one chunk of the answer to `request`, or `None` if `index` is
    /// past the end.
    #[must_use]
    pub fn chunk(&self, request: RequestId, index: u32) -> Option<Chunk> {
        let count = self.count();
        if index >= count {
            return None;
        }
        let start = CHUNK_BYTES * usize::try_from(index).ok()?;
        let end = self.0.len().min(start + CHUNK_BYTES);
        Some(Chunk {
            request,
            index,
            count,
            payload: self.0.slice(start..end),
        })
    }

    /// Returns all chunks of the answer to `request`, in order.
    pub fn chunks(&self, request: RequestId) -> impl Iterator<Item = Chunk> {
        (0..self.count()).filter_map(move |index| self.chunk(request, index))
    }
}
