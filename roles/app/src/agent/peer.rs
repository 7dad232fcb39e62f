//! Calls between agents of a service, over `tarpc`.
//!
//! Calls are authenticated, so that a process without the installation's key can
//! neither offer requests nor claim parked state.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use agent::Offer;
use agent::Outcome;
use agent::offer;
use agent::park;
use async_channel::Sender;
use async_compat::Compat;
use async_compat::CompatExt;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use smol::lock::Mutex;
use smol::net::TcpListener;
use smol::net::TcpStream;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use wire::Seal;
use wire::seal::Purpose;

use crate::agent::Input;

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A call from one agent to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Run a single request.
    Offer(Offer),
    /// Withdraw a request that was offered before.
    Withdraw(offer::Id),
    /// Store a part of the state of the calling agent.
    Park(park::Part),
    /// Return a part that a predecessor of the calling agent parked.
    Claim(park::Claim),
}

/// The answer to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Outcome of an offer.
    Offer(Outcome),
    /// Acknowledgement of a withdrawal.
    Withdrawn,
    /// Whether the part was stored.
    Parked(bool),
    /// The claimed part, or why there is none.
    Claimed(park::Grant),
}

/// Reason why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was not sent.
    Unsent,
    /// The call was sent; whether it was executed is unknown.
    Lost,
}

/// RPC service that agents offer each other.
#[tarpc::service]
trait Peer {
    /// Executes a sealed [`Call`] and returns a sealed [`Answer`], or nothing if
    /// the call cannot be authenticated or the process exits meanwhile.
    async fn call(sealed: Vec<u8>) -> Vec<u8>;
}

type Clients = Mutex<HashMap<SocketAddr, PeerClient>>;

/// Pool of connections to peers, which are opened on demand.
pub struct Pool {
    seal: Arc<Seal>,
    clients: Arc<Clients>,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(seal: Arc<Seal>) -> Self {
        Self {
            seal,
            clients: Arc::default(),
        }
    }

    /// Calls the peer at `to` and waits for the answer, up to `timeout`.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], which tells whether the call may have been executed.
    pub async fn call(
        &self,
        to: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let sealed = self
            .seal
            .seal_as(Purpose::Call, call)
            .map_err(|_| Failure::Unsent)?;
        let client = self.client(to).await.ok_or(Failure::Unsent)?;
        let mut context = Context::current();
        context.deadline = Instant::now() + timeout;
        let result = Compat::new(client.call(context, sealed)).await;
        match result {
            Ok(answer) => self
                .seal
                .open_as(Purpose::Answer, &answer)
                .map_err(|_| Failure::Lost),
            Err(RpcError::Send(_)) => Err(Failure::Unsent),
            Err(_) => Err(Failure::Lost),
        }
    }

    async fn client(&self, to: SocketAddr) -> Option<PeerClient> {
        let mut clients = self.clients.lock().await;
        if let Some(client) = clients.get(&to) {
            return Some(client.clone());
        }
        let client = self.connect(to).await?;
        clients.insert(to, client.clone());
        Some(client)
    }

    async fn connect(&self, to: SocketAddr) -> Option<PeerClient> {
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(to).or(timeout).await.ok()?;
        let _ = stream.set_nodelay(true);
        let framed = LengthDelimitedCodec::builder().new_framed(stream.compat());
        let transport = serde_transport::new(framed, Bincode::default());
        let client = PeerClient::new(tarpc::client::Config::default(), transport);
        let clients = Arc::clone(&self.clients);
        smol::spawn(Compat::new(async move {
            let _ = client.dispatch.await;
            clients.lock().await.remove(&to);
        }))
        .detach();
        Some(client.client)
    }
}

#[derive(Clone)]
struct Server {
    seal: Arc<Seal>,
    inputs: Sender<Input>,
}

impl Server {
    /// Passes a call to the agent's core and waits for the answer. Returns `None`
    /// if this process exits before the core has answered.
    async fn execute(&self, call: Call) -> Option<Answer> {
        let (reply, answer) = async_channel::bounded(1);
        let refusal = refusal(&call);
        match self.inputs.send(Input::Call { call, reply }).await {
            Ok(()) => answer.recv().await.ok(),
            Err(_) => Some(refusal),
        }
    }
}

/// Returns the answer to a call that arrives after the core has exited: the call
/// was not executed.
const fn refusal(call: &Call) -> Answer {
    match call {
        Call::Offer(_) => Answer::Offer(Outcome::NotRun {
            reason: offer::Refusal::Unreachable,
            retry_after: Duration::ZERO,
        }),
        Call::Withdraw(_) => Answer::Withdrawn,
        Call::Park(_) => Answer::Parked(false),
        Call::Claim(_) => Answer::Claimed(park::Grant::Unreachable),
    }
}

impl Peer for Server {
    async fn call(self, _: Context, sealed: Vec<u8>) -> Vec<u8> {
        let Ok(call) = self.seal.open_as(Purpose::Call, &sealed) else {
            return Vec::new();
        };
        match self.execute(call).await {
            Some(answer) => self
                .seal
                .seal_as(Purpose::Answer, &answer)
                .unwrap_or_default(),
            None => Vec::new(),
        }
    }
}

/// Serves the calls of peers until the listener fails.
pub async fn serve(listener: TcpListener, seal: Arc<Seal>, inputs: Sender<Input>) {
    let server = Server { seal, inputs };
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let server = server.clone();
        smol::spawn(Compat::new(async move {
            let framed = LengthDelimitedCodec::builder().new_framed(stream.compat());
            let transport = serde_transport::new(framed, Bincode::default());
            let calls = BaseChannel::with_defaults(transport).execute(server.serve());
            let mut calls = std::pin::pin!(calls);
            while let Some(call) = calls.next().await {
                smol::spawn(Compat::new(call)).detach();
            }
        }))
        .detach();
    }
}
