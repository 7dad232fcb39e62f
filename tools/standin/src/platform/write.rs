//! Requests that write: sessions, locks and transactions.
use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::answer;
use super::answer::OperationRequest;
use super::answer::SessionRequest;
use super::query::Query;
use super::query::parse_duration;
use super::route::Answer;
use super::state::Operation;
use super::state::State;

/// Applies a request that writes, and answers it.
pub(super) fn answer(
    state: &mut State,
    now: Duration,
    path: &str,
    query: &Query,
    body: &[u8],
) -> Answer {
    let parts: Vec<&str> = path.split('/').collect();
    if let ["", "v1", "txn"] = parts.as_slice() {
        state.calls.writes += 1;
        return transact(state, body);
    }
    state.calls.leases += 1;
    match parts.as_slice() {
        ["", "v1", "session", "create"] => create(state, now, body),
        ["", "v1", "session", "renew", id] if state.sessions.renew(id, now) => {
            answer::json(StatusCode::OK, 1, &json!([{ "ID": id }]))
        }
        ["", "v1", "session", "destroy", id] => {
            state.end_session(id);
            answer::json(StatusCode::OK, 1, &true)
        }
        ["", "v1", "kv", ..] => {
            let key = path.trim_start_matches("/v1/kv/");
            let session = query.get("acquire").unwrap_or_default();
            match state.acquire(key, session, body.to_vec()) {
                Some(held) => answer::json(StatusCode::OK, 1, &held),
                None => answer::status(StatusCode::INTERNAL_SERVER_ERROR),
            }
        }
        _ => answer::status(StatusCode::NOT_FOUND),
    }
}

/// Creates a session.
fn create(state: &mut State, now: Duration, body: &[u8]) -> Answer {
    let request = serde_json::from_slice::<SessionRequest>(body).ok();
    match request.and_then(|request| parse_duration(&request.ttl)) {
        Some(ttl) => {
            let id = state.sessions.create(ttl, now);
            answer::json(StatusCode::OK, 1, &json!({ "ID": id }))
        }
        None => answer::status(StatusCode::BAD_REQUEST),
    }
}

/// Applies a transaction.
fn transact(state: &mut State, body: &[u8]) -> Answer {
    let requests: Vec<OperationRequest> = match serde_json::from_slice(body) {
        Ok(requests) => requests,
        Err(_) => return answer::status(StatusCode::BAD_REQUEST),
    };
    let operations: Option<Vec<Operation>> = requests
        .into_iter()
        .map(OperationRequest::into_operation)
        .collect();
    let Some(operations) = operations else {
        return answer::status(StatusCode::BAD_REQUEST);
    };
    match state.transact(&operations) {
        Err(refused) => {
            let error = json!({ "OpIndex": refused, "What": "the condition does not hold" });
            let body = json!({ "Results": null, "Errors": [error] });
            answer::json(StatusCode::CONFLICT, 1, &body)
        }
        Ok(keys) => {
            let results: Vec<Value> = keys
                .iter()
                .filter_map(|key| Some((key, state.pairs.get(key)?)))
                .map(|(key, pair)| json!({ "KV": answer::pair_json(key, pair) }))
                .collect();
            answer::json(
                StatusCode::OK,
                1,
                &json!({ "Results": results, "Errors": null }),
            )
        }
    }
}
