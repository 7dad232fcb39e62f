//! JSON bodies of Consul's key-value API.
use serde::Deserialize;
use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// A key-value pair in an answer.
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

/// The key-value part of an [`Operation`].
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

/// Verb of an operation.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Verb {
    /// Writes the key if its revision matches.
    #[default]
    Cas,
    /// Writes the key unconditionally.
    Set,
    /// Fails the transaction unless the session holds the key.
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

/// A failed operation, by its position in the transaction.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Refused {
    pub op_index: usize,
}

/// Request to create a session.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Session {
    #[serde(rename = "TTL")]
    pub ttl: String,
    pub behavior: String,
    pub lock_delay: String,
}

/// Answer to the creation of a session.
#[derive(Debug, Deserialize)]
pub(crate) struct Created {
    #[serde(rename = "ID")]
    pub id: String,
}
