//! The token that identifies the holder of a flow.
use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;
use crate::TargetId;

/// Length of an encoded token in bytes.
pub const TOKEN_LEN: usize = 16;

/// Identity of the process that holds a flow: a backend server and the
/// incarnation of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Token {
    /// The backend server.
    pub target: TargetId,
    /// The incarnation of its agent when the flow was opened.
    pub incarnation: Incarnation,
}

impl Token {
    /// Encodes the token for a caller.
    #[must_use]
    pub fn to_bytes(self) -> [u8; TOKEN_LEN] {
        let value = (u128::from(self.target) << u64::BITS) | u128::from(self.incarnation);
        value.to_be_bytes()
    }

    /// Decodes a token that a caller returned; `None` where it does not have
    /// [`TOKEN_LEN`] bytes.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes: [u8; TOKEN_LEN] = bytes.try_into().ok()?;
        let (target, incarnation) = bytes.split_at(size_of::<TargetId>());
        Some(Self {
            target: TargetId::from_be_bytes(target.try_into().ok()?),
            incarnation: Incarnation::from_be_bytes(incarnation.try_into().ok()?),
        })
    }
}
