//! Requests and answers that callers and backend servers exchange within a
//! flow.

/// Id of a task; all attempts of a task carry it.
pub type TaskId = u64;

/// Bytes of the header of a request.
const REQUEST_HEADER_BYTES: usize = 24;

/// Bytes of the header of an answer.
const ANSWER_HEADER_BYTES: usize = 24;

/// A request, which is one attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Task that the request is for.
    pub task: TaskId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Bytes of the request's content.
    pub length: u32,
    /// Bytes of the content of the answer.
    pub answer_length: u32,
}

/// An answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Task of the request.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Bytes of the answer's content.
    pub length: u32,
    /// Whether the request ran; false where the backend server rejected it.
    pub has_run: bool,
}

impl Request {
    /// Encodes the header and the content of the request.
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

    /// Decodes a request and removes it from the front of the received bytes;
    /// `None` while it is incomplete.
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
    /// Encodes the header and the content of the answer.
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

    /// Decodes an answer and removes it from the front of the received bytes;
    /// `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// The header of an answer whose content is not what the backend server
    /// writes.
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

/// Returns pseudo-random content, which is the same for all attempts of a task.
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
