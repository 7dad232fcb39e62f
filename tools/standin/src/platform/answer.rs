//! JSON bodies and responses.
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use super::state::Operation;
use super::state::Pair;

/// Header with the index of an answer: the revision that it reflects.
pub const INDEX_HEADER: &str = "x-consul-index";

/// Body of a request that creates a session.
#[derive(Debug, Deserialize)]
pub(super) struct SessionRequest {
    #[serde(rename = "TTL")]
    pub ttl: String,
}

/// One operation of a transaction request.
#[derive(Debug, Deserialize)]
pub(super) struct OperationRequest {
    #[serde(rename = "KV")]
    kv: KvRequest,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct KvRequest {
    verb: String,
    key: String,
    value: String,
    index: u64,
    session: String,
}

impl OperationRequest {
    /// Converts the request; returns `None` if the operation is not supported or
    /// its value is not Base64.
    pub(super) fn into_operation(self) -> Option<Operation> {
        let KvRequest {
            verb,
            key,
            value,
            index,
            session,
        } = self.kv;
        let value = STANDARD.decode(value).ok()?;
        match verb.as_str() {
            "cas" => Some(Operation::Cas { key, value, index }),
            "set" => Some(Operation::Set { key, value }),
            "check-session" => Some(Operation::CheckSession { key, session }),
            _ => None,
        }
    }
}

/// Returns the JSON form of a key with its value.
pub(super) fn pair_json(key: &str, pair: &Pair) -> Value {
    let mut object = json!({
        "LockIndex": u8::from(pair.session.is_some()),
        "Key": key,
        "Flags": 0,
        "Value": STANDARD.encode(&pair.value),
        "CreateIndex": pair.created,
        "ModifyIndex": pair.modified,
    });
    if let Some(session) = &pair.session {
        object["Session"] = json!(session);
    }
    object
}

/// Returns a response with a JSON body.
pub(super) fn json(status: StatusCode, index: u64, body: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(INDEX_HEADER, index.into());
    response
}

/// Returns a response without a body.
pub(super) fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = status;
    response
}
