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

/// Header that carries the index of an answer.
pub const INDEX_HEADER: &str = "x-consul-index";

/// Body of a session request.
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
    /// Reads the operation; `None` where it is not supported.
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

/// A key as the protocol shows it.
pub(super) fn pair_json(key: &str, cell: &Pair) -> Value {
    let mut pair = json!({
        "LockIndex": u8::from(cell.session.is_some()),
        "Key": key,
        "Flags": 0,
        "Value": STANDARD.encode(&cell.value),
        "CreateIndex": cell.created,
        "ModifyIndex": cell.modified,
    });
    if let Some(session) = &cell.session {
        pair["Session"] = json!(session);
    }
    pair
}

/// A response with a JSON body.
pub(super) fn json(status: StatusCode, index: u64, body: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(INDEX_HEADER, index.into());
    response
}

/// A response without a body.
pub(super) fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = status;
    response
}
