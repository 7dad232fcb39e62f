//! JSON bodies of the key-value protocol.
use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// One key, as the store answers it.
#[serde_as]
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Pair {
    pub key: String,
    #[serde_as(as = "Option<Base64>")]
    #[serde(default)]
    pub value: Option<Vec<u8>>,
    pub modify_index: u64,
}

/// One operation of a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct Operation {
    #[serde(rename = "KV")]
    pub kv: Write,
}

/// The part of an operation that concerns one key.
#[serde_as]
#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Write {
    pub verb: Verb,
    pub key: String,
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    pub index: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
}

/// What an operation does.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Verb {
    /// Writes where the revision matches.
    #[default]
    Cas,
    /// Writes always.
    Set,
    /// Fails the transaction where the session does not hold the key.
    CheckSession,
}

/// Answer to a transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Transaction {
    pub results: Option<Vec<Applied>>,
    pub errors: Option<Vec<Refused>>,
}

/// An operation that was applied.
#[derive(Debug, Deserialize)]
pub(crate) struct Applied {
    #[serde(rename = "KV")]
    pub kv: Pair,
}

/// An operation that was refused.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Refused {
    pub op_index: usize,
}

/// Asks for a session.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Session {
    #[serde(rename = "TTL")]
    pub ttl: String,
    pub behavior: String,
    pub lock_delay: String,
}

/// A session that was created.
#[derive(Debug, Deserialize)]
pub(crate) struct Created {
    #[serde(rename = "ID")]
    pub id: String,
}
