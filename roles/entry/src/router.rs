//! Maps a caller's datagram to the agent that receives it.
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use wire::FlowKey;
use wire::Hop;
use wire::Relay;
use wire::Reply;
use wire::RequestId;
use wire::ServiceAddress;
use wire::Target;
use wire::Token;
use wire::caller;
use wire::caller::Outcome;
use wire::caller::Packet;
use wire::caller::Reason;
use wire::caller::packet::Body;
use wire::frame::Encapsulated;

use crate::Decision;
use crate::DropReason;
use crate::Service;

/// Maximum number of agents on the path of a packet that continues a flow.
const CONTINUE_PATH_LENGTH: usize = 3;

/// Number of attempts at an open or request, including the first one, that
/// start at the first agent of the path.
const FIRST_AGENT_ATTEMPTS: u32 = 2;

/// Minimum time in milliseconds before a caller retries a service that is
/// unknown or has no targets.
const RETRY_AFTER_MS: u32 = 1_000;

/// Immutable snapshot of all services, shared by the traffic threads.
///
/// Cloning shares the services: an update to one service copies the map, but
/// not the target orders.
#[derive(Clone, Default)]
pub struct Router {
    services: HashMap<ServiceAddress, Arc<Service>>,
    /// Addresses that are known to have no service.
    absent: HashSet<ServiceAddress>,
}

/// Fields of a caller's packet that decide its route.
struct Header {
    flow: FlowKey,
    request: RequestId,
    kind: Kind,
    attempt: u32,
    holder: Option<Token>,
}

/// Kind of a packet: opens a flow or continues one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Open,
    Continue,
}

impl Router {
    /// Adds a service, or replaces its older snapshot.
    pub fn insert(&mut self, service: Service) {
        self.absent.remove(&service.address);
        self.services.insert(service.address, Arc::new(service));
    }

    /// Removes an address: packets to it are ignored until the peers have been
    /// asked whether it has a service.
    pub fn remove(&mut self, address: ServiceAddress) {
        self.services.remove(&address);
        self.absent.remove(&address);
    }

    /// Marks an address as having no service: packets to it are refused.
    pub fn mark_absent(&mut self, address: ServiceAddress) {
        self.services.remove(&address);
        self.absent.insert(address);
    }

    /// Returns the number of services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Returns true if no service is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Decides where a datagram goes. `entry` is the address to which agents
    /// send their replies.
    #[must_use]
    pub fn route(&self, encapsulated: Encapsulated, entry: SocketAddr) -> Decision {
        let header = match parse(encapsulated.packet.clone()) {
            Ok(header) => header,
            Err(reason) => return reject_unparsable(&encapsulated, reason),
        };
        let service = match self.services.get(&encapsulated.service) {
            Some(service) => service,
            None if self.absent.contains(&encapsulated.service) => {
                return refuse(
                    &encapsulated,
                    &header,
                    Reason::NoService,
                    DropReason::NoService,
                );
            }
            None => return Decision::Ignore(DropReason::UnknownAddress),
        };
        let Ranking { path, home } = rank(service, &header);
        match (path.first(), home) {
            (Some(first), Some(home)) => Decision::Relay {
                to: first.address,
                relay: Relay {
                    caller: encapsulated.caller,
                    service: encapsulated.service,
                    entry,
                    revision: service.revision,
                    home,
                    path,
                    position: 0,
                    bids: Vec::new(),
                    is_settled: false,
                    packet: encapsulated.packet,
                },
            },
            _ => refuse(
                &encapsulated,
                &header,
                Reason::NoTarget,
                DropReason::NoTarget,
            ),
        }
    }
}

/// Agents that a packet visits, in order, and the agent that keeps the pin of
/// its flow.
struct Ranking {
    path: Vec<Hop>,
    home: Option<Hop>,
}

/// Ranks the agents of a service for a packet.
///
/// A packet with a token goes to the token's holder first. Agents know the
/// complete order, so the path holds only its first agents.
fn rank(service: &Service, header: &Header) -> Ranking {
    let order = service.order();
    let holder = header
        .holder
        .and_then(|token| service.target(token.target))
        .map(Target::hop);
    let mut path: Vec<Hop> = match (header.kind, holder) {
        (Kind::Open, _) => order
            .top_open(header.flow, service.hunt)
            .map(Target::hop)
            .collect(),
        (Kind::Continue, Some(_)) if header.attempt < FIRST_AGENT_ATTEMPTS => {
            order.top(header.flow, 1).map(Target::hop).collect()
        }
        (Kind::Continue, _) => order
            .top(header.flow, CONTINUE_PATH_LENGTH)
            .map(Target::hop)
            .collect(),
    };
    let home = match header.kind {
        Kind::Open if order.has_excluded() => order.top(header.flow, 1).next().map(Target::hop),
        Kind::Open | Kind::Continue => path.first().copied(),
    };
    skip_unresponsive(&mut path, header.attempt);
    if let Some(holder) = holder {
        path.retain(|hop| hop.target != holder.target);
        path.insert(0, holder);
    }
    Ranking { path, home }
}

/// Rotates the path for later retransmits, because the first agent may have
/// failed without being marked down yet.
fn skip_unresponsive(path: &mut [Hop], attempt: u32) {
    let skip = attempt.saturating_sub(FIRST_AGENT_ATTEMPTS - 1) as usize;
    if let length @ 2.. = path.len() {
        path.rotate_left(skip % length);
    }
}

fn parse(packet: Bytes) -> Result<Header, DropReason> {
    let packet = Packet::from_bytes(packet).map_err(|error| match error {
        caller::Error::Malformed => DropReason::Malformed,
        caller::Error::Version => DropReason::Version,
        caller::Error::TooLarge => DropReason::TooLarge,
    })?;
    let flow = packet.flow;
    let continue_flow = |request, attempt, holder: &Bytes| Header {
        flow,
        request,
        kind: Kind::Continue,
        attempt,
        holder: Token::from_bytes(holder),
    };
    match packet.body.ok_or(DropReason::Malformed)? {
        Body::Open(open) => Ok(Header {
            flow,
            request: 0,
            kind: Kind::Open,
            attempt: open.attempt,
            holder: None,
        }),
        Body::Request(request) => Ok(continue_flow(
            request.request,
            request.attempt,
            &request.holder,
        )),
        Body::Cancel(cancel) => Ok(continue_flow(cancel.request, 0, &cancel.holder)),
        Body::Fetch(fetch) => Ok(continue_flow(fetch.request, 0, &fetch.holder)),
        Body::Close(close) => Ok(continue_flow(0, 0, &close.holder)),
        Body::Opened(_) | Body::Chunk(_) | Body::Refusal(_) | Body::Closed(_) => {
            Err(DropReason::Direction)
        }
    }
}

/// Answers a packet that cannot be parsed, but only if the sender can match the
/// answer to a flow.
fn reject_unparsable(encapsulated: &Encapsulated, reason: DropReason) -> Decision {
    let answer = match reason {
        DropReason::Version => Reason::BadVersion,
        DropReason::TooLarge => Reason::TooLarge,
        _ => return Decision::Ignore(reason),
    };
    let Some(flow) = caller::flow_key(encapsulated.packet.clone()) else {
        return Decision::Ignore(reason);
    };
    let request = caller::request_id(encapsulated.packet.clone());
    let packet = Packet::refuse(flow, request, answer, Outcome::NotRun, 0);
    reply(encapsulated, &packet, reason)
}

/// Refuses a packet that was not relayed to any agent.
///
/// Another entry may have relayed an earlier copy, so only an open is certain
/// not to have run.
fn refuse(
    encapsulated: &Encapsulated,
    header: &Header,
    reason: Reason,
    drop_reason: DropReason,
) -> Decision {
    let outcome = match header.kind {
        Kind::Open => Outcome::NotRun,
        Kind::Continue => Outcome::Unknown,
    };
    let packet = Packet::refuse(
        header.flow,
        header.request,
        reason,
        outcome,
        retry_after_ms(header.flow),
    );
    reply(encapsulated, &packet, drop_reason)
}

fn reply(encapsulated: &Encapsulated, packet: &Packet, reason: DropReason) -> Decision {
    Decision::Refuse {
        reply: Reply {
            caller: encapsulated.caller,
            service: encapsulated.service,
            packet: packet.to_bytes(),
        },
        reason,
    }
}

/// Returns the retry delay in milliseconds: the minimum plus up to the same
/// again, derived from the flow key, so that refused callers do not retry all
/// at once.
fn retry_after_ms(flow: FlowKey) -> u32 {
    let jitter = flow % u64::from(RETRY_AFTER_MS);
    RETRY_AFTER_MS + u32::try_from(jitter).unwrap_or(0)
}
