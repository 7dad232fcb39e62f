//! Packets that a caller sends.
use bytes::Bytes;
use wire::Token;
use wire::caller::Cancel;
use wire::caller::Close;
use wire::caller::Fetch;
use wire::caller::Open;
use wire::caller::Packet;
use wire::caller::Request;
use wire::caller::packet::Body;

pub fn open(flow: u64) -> Packet {
    Packet::new(flow, Body::Open(Open { attempt: 0 }))
}

pub fn request(flow: u64, request: u64, token: Token) -> Packet {
    with_deadline(flow, request, token, 10_000)
}

pub fn with_deadline(flow: u64, request: u64, token: Token, deadline_ms: u32) -> Packet {
    Packet::new(
        flow,
        Body::Request(Request {
            request,
            holder: token.to_bytes().to_vec().into(),
            idempotent: false,
            deadline_ms,
            attempt: 0,
            payload: Bytes::from_static(b"payload"),
        }),
    )
}

pub fn idempotent(flow: u64, request: u64) -> Packet {
    Packet::new(
        flow,
        Body::Request(Request {
            request,
            holder: Bytes::new(),
            idempotent: true,
            deadline_ms: 10_000,
            attempt: 0,
            payload: Bytes::from_static(b"payload"),
        }),
    )
}

pub fn cancel(flow: u64, request: u64, token: Token) -> Packet {
    let holder = token.to_bytes().to_vec().into();
    Packet::new(flow, Body::Cancel(Cancel { request, holder }))
}

pub fn fetch(flow: u64, request: u64, chunks: Vec<u32>, token: Token) -> Packet {
    let holder = token.to_bytes().to_vec().into();
    Packet::new(
        flow,
        Body::Fetch(Fetch {
            request,
            chunks,
            holder,
        }),
    )
}

pub fn close(flow: u64, token: Token) -> Packet {
    let holder = token.to_bytes().to_vec().into();
    Packet::new(flow, Body::Close(Close { holder }))
}
