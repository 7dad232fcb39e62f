//! What callers and backend servers say to each other within a flow.

/// Number of a thing that a caller wants done, however often it asks.
pub type TaskId = u64;

/// Bytes of the header of a request.
const REQUEST_HEADER_BYTES: usize = 24;

/// Bytes of the header of an answer.
const ANSWER_HEADER_BYTES: usize = 24;

/// A request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// What is to be done.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Bytes of its content.
    pub length: u32,
    /// Bytes of the answer's content.
    pub answer_length: u32,
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What the request asked for.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Bytes of its content.
    pub length: u32,
    /// Whether the request ran.
    pub has_run: bool,
}

impl Request {
    /// Writes the request.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend(self.task.to_be_bytes());
        bytes.extend(self.attempt.to_be_bytes());
        bytes.extend(self.length.to_be_bytes());
        bytes.extend(self.answer_length.to_be_bytes());
        bytes.extend([0; 4]);
        bytes.extend(content(self.task, self.length));
        bytes
    }

    /// Takes a whole request off the front of a stream.
    #[must_use]
    pub fn decode(stream: &mut Vec<u8>) -> Option<Self> {
        let header = stream.get(..REQUEST_HEADER_BYTES)?;
        let request = Self {
            task: u64_at(header, 0),
            attempt: u32_at(header, 8),
            length: u32_at(header, 12),
            answer_length: u32_at(header, 16),
        };
        let end = REQUEST_HEADER_BYTES + request.length as usize;
        if stream.len() < end {
            return None;
        }
        stream.drain(..end);
        Some(request)
    }
}

impl Answer {
    /// Writes the answer.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend(self.task.to_be_bytes());
        bytes.extend(self.attempt.to_be_bytes());
        bytes.extend(self.length.to_be_bytes());
        bytes.extend(u32::from(self.has_run).to_be_bytes());
        bytes.extend([0; 4]);
        bytes.extend(content(self.task, self.length));
        bytes
    }

    /// Takes a whole answer off the front of a stream; an error where its
    /// content is not what the backend server writes.
    ///
    /// # Errors
    ///
    /// The header of the answer.
    pub fn decode(stream: &mut Vec<u8>) -> Result<Option<Self>, Self> {
        let Some(header) = stream.get(..ANSWER_HEADER_BYTES) else {
            return Ok(None);
        };
        let answer = Self {
            task: u64_at(header, 0),
            attempt: u32_at(header, 8),
            length: u32_at(header, 12),
            has_run: u32_at(header, 16) == 1,
        };
        let end = ANSWER_HEADER_BYTES + answer.length as usize;
        if stream.len() < end {
            return Ok(None);
        }
        let is_intact = stream[ANSWER_HEADER_BYTES..end] == content(answer.task, answer.length);
        stream.drain(..end);
        if is_intact {
            Ok(Some(answer))
        } else {
            Err(answer)
        }
    }
}

/// Content that belongs to one task alone.
fn content(task: TaskId, length: u32) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(task);
    (0..length).map(|_| random.u8(..)).collect()
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(bytes[at..at + 8].try_into().unwrap_or_default())
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap_or_default())
}
