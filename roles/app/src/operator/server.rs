//! gRPC server of every entry for operators.
use std::future::Future;
use std::future::ready;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use api::operator as schema;
use config::Change;
use config::Evacuations;
use config::Fault;
use config::Problem;
use config::Record;
use config::Update;
use config::change::Outcome;
use config::change::Request as ChangeRequest;
use config::era;
use config::evacuation;
use config::jitter::jitter;
use config::key;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use schema::evacuate_reply::Result as Evacuated;
use schema::get_reply::Result as Found;
use schema::operator_server::Operator;
use schema::operator_server::OperatorServer;
use smol::Executor;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use store::Store;
use store::Swap;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::codegen::Service;
use wire::Revision;
use wire::ZoneId;

use super::convert;
use super::spawn::Spawner;

/// Shortest delay that clients are asked to keep before a retry; a random part of
/// up to the same length is added.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of times that the request for a zone is written if others write it too.
const MAX_EVACUATION_TRIES: u32 = 3;

/// Interval of HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(30);

/// Access of the server to the state of its own process.
pub trait Snapshot: Send + Sync + 'static {
    /// Puts a configuration in force in this process and spreads it by gossip.
    ///
    /// Called as soon as a change is accepted, because the store may fail before
    /// a reader has read the change. The default does nothing and leaves the
    /// spreading to the readers.
    fn accept(&self, _: Update) -> impl Future<Output = ()> + Send {
        ready(())
    }

    /// Puts the evacuated zones, as listed at an index of the store, in force in this
    /// process and spreads them by gossip. The default leaves that to the readers.
    fn evacuate(&self, _: Evacuations, _: Revision) -> impl Future<Output = ()> + Send {
        ready(())
    }

    /// Returns the state of the system as this process knows it.
    fn status(&self) -> impl Future<Output = schema::StatusReply> + Send;
}

/// Store and process that the server works with.
pub struct Context<S, N> {
    /// Client of the platform's key-value service.
    pub store: S,
    /// State of the server's own process.
    pub snapshot: N,
}

struct Handler<S, N>(Arc<Context<S, N>>);

/// Serves operators on a listener until accepting a connection fails.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve<S: Store, N: Snapshot>(
    listener: TcpListener,
    context: Context<S, N>,
    executor: Arc<Executor<'static>>,
) -> io::Result<()> {
    let server = OperatorServer::new(Handler(Arc::new(context)));
    loop {
        let (stream, _) = listener.accept().await?;
        let connection = connection(stream, server.clone(), executor.clone());
        executor.spawn(connection).detach();
    }
}

async fn connection<S: Store, N: Snapshot>(
    stream: TcpStream,
    server: OperatorServer<Handler<S, N>>,
    executor: Arc<Executor<'static>>,
) {
    let service = service_fn(move |request| {
        let mut server = server.clone();
        async move { server.call(request).await }
    });
    let ended = http2::Builder::new(Spawner(executor))
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .serve_connection(FuturesIo::new(stream), service)
        .await;
    if let Err(error) = ended {
        log::debug!("operator connection closed with an error: {error}");
    }
}

impl<S: Store, N: Snapshot> Handler<S, N> {
    async fn change(
        &self,
        request: Result<ChangeRequest, Vec<Problem>>,
    ) -> Response<schema::ChangeReply> {
        let outcome = match request {
            Ok(request) => {
                store::change::run(&self.0.store, Change::new(request, fastrand::u64(..))).await
            }
            Err(problems) => Outcome::Invalid(problems),
        };
        if let Outcome::Accepted { latest, .. } = &outcome {
            self.0.snapshot.accept(Update::clone(latest)).await;
        }
        Response::new(convert::outcome(outcome))
    }

    /// Stores the request for a zone unless it is stored already. Returns the revision
    /// at which it was.
    async fn store_evacuation(&self, zone: ZoneId, is_evacuated: bool) -> Result<Revision, Fault> {
        let wanted = evacuation::Request { is_evacuated };
        let value = serde_json::to_vec(&wanted).map_err(|_| Fault::Malformed)?;
        let key = key::evacuation(zone);
        for _ in 1..MAX_EVACUATION_TRIES {
            match self
                .store_evacuation_once(&key, wanted, value.clone())
                .await
            {
                Err(Fault::Conflict) => {}
                result => return result,
            }
        }
        self.store_evacuation_once(&key, wanted, value).await
    }

    async fn store_evacuation_once(
        &self,
        key: &str,
        wanted: evacuation::Request,
        value: Vec<u8>,
    ) -> Result<Revision, Fault> {
        let stored = self.0.store.get(key).await?;
        let expected = stored.as_ref().map_or(0, |item| item.revision);
        let held = stored.and_then(|item| serde_json::from_slice(&item.value).ok());
        if held == Some(wanted) {
            return Ok(expected);
        }
        let swap = Swap {
            key: key.to_owned(),
            value,
            expected,
            touch: None,
            fence: None,
        };
        self.0.store.swap(swap).await
    }
}

#[tonic::async_trait]
impl<S: Store, N: Snapshot> Operator for Handler<S, N> {
    async fn apply(
        &self,
        request: Request<schema::ApplyRequest>,
    ) -> Result<Response<schema::ChangeReply>, Status> {
        Ok(self.change(convert::apply(request.into_inner())).await)
    }

    async fn drain(
        &self,
        request: Request<schema::DrainRequest>,
    ) -> Result<Response<schema::ChangeReply>, Status> {
        Ok(self.change(convert::drain(request.into_inner())).await)
    }

    async fn get(
        &self,
        request: Request<schema::GetRequest>,
    ) -> Result<Response<schema::GetReply>, Status> {
        let result = match convert::address(&request.into_inner().address) {
            Err(problems) => Found::Invalid(convert::invalid(&problems)),
            Ok(address) => match self.0.store.get(&key::service(address)).await {
                Err(fault) => Found::Unavailable(unavailable(fault)),
                Ok(None) => Found::Missing(schema::Missing {}),
                Ok(Some(item)) => match Record::from_json(&item.value) {
                    Ok(record) => Found::Stored(convert::stored(record, item.revision)),
                    Err(problem) => Found::Invalid(convert::invalid(&[problem])),
                },
            },
        };
        Ok(Response::new(schema::GetReply {
            result: Some(result),
        }))
    }

    async fn list(
        &self,
        request: Request<schema::ListRequest>,
    ) -> Result<Response<schema::ListReply>, Status> {
        let deleted = request.into_inner().deleted;
        let mut reply = schema::ListReply::default();
        let listing = match self.0.store.list(key::SERVICE_PREFIX).await {
            Ok(listing) => listing,
            Err(fault) => {
                reply.unavailable = Some(unavailable(fault));
                return Ok(Response::new(reply));
            }
        };
        for item in listing.items {
            match Record::from_json(&item.value) {
                Err(_) => reply.malformed += 1,
                Ok(record) if deleted || record.service.is_active() => {
                    reply.services.push(convert::stored(record, item.revision));
                }
                Ok(_) => {}
            }
        }
        Ok(Response::new(reply))
    }

    async fn evacuate(
        &self,
        request: Request<schema::EvacuateRequest>,
    ) -> Result<Response<schema::EvacuateReply>, Status> {
        let schema::EvacuateRequest { zone, on } = request.into_inner();
        let result = match ZoneId::try_from(zone) {
            Err(_) => Evacuated::Invalid(convert::invalid(&[Problem::Subject])),
            Ok(id) => match self.store_evacuation(id, on).await {
                Err(fault) if fault.maybe_applied() => {
                    Evacuated::Unavailable(schema::Unavailable {
                        outcome: schema::Outcome::Unknown.into(),
                        ..unavailable(fault)
                    })
                }
                Err(fault) => Evacuated::Unavailable(unavailable(fault)),
                Ok(revision) => Evacuated::Stored(schema::EvacuatedZone {
                    zone,
                    revision: era::number(revision),
                }),
            },
        };
        // The readers spread the request if this list cannot be read.
        if let Evacuated::Stored(_) = &result
            && let Ok(listing) = self.0.store.list(key::EVACUATION_PREFIX).await
        {
            let evacuations = Evacuations::from_listing(&listing);
            self.0.snapshot.evacuate(evacuations, listing.index).await;
        }
        let result = Some(result);
        Ok(Response::new(schema::EvacuateReply { result }))
    }

    async fn zones(
        &self,
        _: Request<schema::ZonesRequest>,
    ) -> Result<Response<schema::ZonesReply>, Status> {
        let mut reply = schema::ZonesReply::default();
        match self.0.store.list(key::EVACUATION_PREFIX).await {
            Err(fault) => reply.unavailable = Some(unavailable(fault)),
            Ok(listing) => {
                let zones = Evacuations::from_listing(&listing).zones.into_iter();
                let zones = zones.map(|(zone, revision)| schema::EvacuatedZone {
                    zone: zone.into(),
                    revision: era::number(revision),
                });
                reply.zones = zones.collect();
            }
        }
        Ok(Response::new(reply))
    }

    async fn status(
        &self,
        _: Request<schema::StatusRequest>,
    ) -> Result<Response<schema::StatusReply>, Status> {
        Ok(Response::new(self.0.snapshot.status().await))
    }
}

fn unavailable(fault: Fault) -> schema::Unavailable {
    let retry_after = RETRY_AFTER + jitter(fastrand::u64(..), RETRY_AFTER);
    schema::Unavailable {
        retry_after_ms: convert::millis(retry_after),
        outcome: schema::Outcome::NotApplied.into(),
        reason: fault.to_string(),
    }
}
