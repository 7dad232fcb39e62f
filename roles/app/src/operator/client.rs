//! gRPC client of the operators' server.
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use api::operator::operator_client::OperatorClient;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use smol::Executor;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use tonic::body::Body;
use tonic::codegen::Service;

use super::spawn::Spawner;

/// Client on one connection.
pub type Client = OperatorClient<Connection>;

/// One HTTP/2 connection.
#[derive(Clone)]
pub struct Connection(SendRequest<Body>);

/// Connects to the operators' server of an entry.
///
/// # Errors
///
/// Returns the error if the connection or its HTTP/2 handshake fails; another
/// entry can be tried then.
pub async fn connect(address: SocketAddr, executor: Arc<Executor<'static>>) -> io::Result<Client> {
    let stream = TcpStream::connect(address).await?;
    let (sender, connection) = http2::handshake(Spawner(executor.clone()), FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    executor.spawn(connection).detach();
    let origin: Uri = format!("http://{address}")
        .parse()
        .map_err(io::Error::other)?;
    Ok(OperatorClient::with_origin(Connection(sender), origin))
}

impl Service<Request<Body>> for Connection {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = hyper::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}
