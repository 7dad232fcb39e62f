//! Fetches a backend server's ledger.
use std::error::Error;
use std::net::SocketAddr;
use std::net::TcpStream;

use async_io::Async;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::HOST;
use smol_hyper::rt::FuturesIo;

use crate::backend::Ledger;

/// Fetches the ledger of the backend server at `address`.
///
/// # Errors
///
/// The error of the connection, or of an answer that is not a ledger in JSON.
pub async fn ledger(address: SocketAddr) -> Result<Ledger, Box<dyn Error>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    let (mut sender, connection) = http1::handshake(FuturesIo::new(stream)).await?;
    let request = Request::get("/ledger")
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let answer = async {
        let response = sender.send_request(request).await?;
        let body = response.into_body().collect().await?.to_bytes();
        Ok(serde_json::from_slice(&body)?)
    };
    let closed = async {
        connection.await?;
        Err(
            "the backend server closed the connection before it answered; check that it runs"
                .into(),
        )
    };
    future::or(answer, closed).await
}
