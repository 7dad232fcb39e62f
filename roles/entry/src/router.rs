//! Maps a caller's datagram to the agent that it goes to.
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
use wire::frame::Sprayed;

use crate::Drop;
use crate::Service;
use crate::Step;

/// Number of agents on the path of a packet that continues a flow.
const CONTINUE_PATH_LENGTH: usize = 3;

/// Repeats of an open or request that still start at the first agent.
const FIRST_AGENT_ATTEMPTS: u32 = 2;

/// Milliseconds after which a caller may ask again for an unknown service or
/// one without targets.
const RETRY_AFTER_MS: u32 = 1_000;

/// An immutable snapshot of all services, shared by the traffic threads.
///
/// A clone shares the services, so that a change of one service costs a copy of
/// the map and not of the orders.
#[derive(Clone, Default)]
pub struct Router {
    services: HashMap<ServiceAddress, Arc<Service>>,
    absent: HashSet<ServiceAddress>,
}

/// What the entry reads of a caller's packet.
struct Header {
    flow: FlowKey,
    request: RequestId,
    kind: Kind,
    attempt: u32,
    holder: Option<Token>,
}

/// Whether a packet starts a flow.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Open,
    Continue,
}

impl Router {
    /// Adds a service, or replaces its older view.
    pub fn insert(&mut self, service: Service) {
        self.absent.remove(&service.address);
        self.services.insert(service.address, Arc::new(service));
    }

    /// Forgets what is known of an address; packets to it are to be sought.
    pub fn forget(&mut self, address: ServiceAddress) {
        self.services.remove(&address);
        self.absent.remove(&address);
    }

    /// Refuses an address from now on: it has no service.
    pub fn refuse(&mut self, address: ServiceAddress) {
        self.services.remove(&address);
        self.absent.insert(address);
    }

    /// Returns the number of services.
    #[must_use]
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Returns true where no service is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Decides where a datagram goes. `entry` is the address that the agents
    /// send their replies to.
    #[must_use]
    pub fn route(&self, sprayed: Sprayed, entry: SocketAddr) -> Step {
        let opening = match parse(sprayed.packet.clone()) {
            Ok(opening) => opening,
            Err(reason) => return reject_unreadable(&sprayed, reason),
        };
        let service = match self.services.get(&sprayed.service) {
            Some(service) => service,
            None if self.absent.contains(&sprayed.service) => {
                return refuse(&sprayed, &opening, Reason::NoService, Drop::NoService);
            }
            None => return Step::Ignore(Drop::Sought),
        };
        let Ranking { path, home } = rank(service, &opening);
        match (path.first(), home) {
            (Some(first), Some(home)) => Step::Relay {
                to: first.address,
                relay: Relay {
                    caller: sprayed.caller,
                    service: sprayed.service,
                    entry,
                    revision: service.revision,
                    home,
                    path,
                    position: 0,
                    waits: Vec::new(),
                    settle: false,
                    packet: sprayed.packet,
                },
            },
            _ => refuse(&sprayed, &opening, Reason::NoTarget, Drop::NoTarget),
        }
    }
}

/// The agents that a packet visits, and the keeper of its flow's pin.
struct Ranking {
    path: Vec<Hop>,
    home: Option<Hop>,
}

/// Ranks the agents of a service for a packet.
///
/// A token leads to its holder; the agents know the rest of the order.
fn rank(service: &Service, opening: &Header) -> Ranking {
    let order = service.order();
    let holder = opening
        .holder
        .and_then(|token| service.target(token.target))
        .map(Target::hop);
    let mut path: Vec<Hop> = match (opening.kind, holder) {
        (Kind::Open, _) => order
            .open(opening.flow, service.hunt)
            .map(Target::hop)
            .collect(),
        (Kind::Continue, Some(_)) if opening.attempt < FIRST_AGENT_ATTEMPTS => {
            order.top(opening.flow, 1).map(Target::hop).collect()
        }
        (Kind::Continue, _) => order
            .top(opening.flow, CONTINUE_PATH_LENGTH)
            .map(Target::hop)
            .collect(),
    };
    let home = match opening.kind {
        Kind::Open if order.has_closed() => order.top(opening.flow, 1).next().map(Target::hop),
        Kind::Open | Kind::Continue => path.first().copied(),
    };
    skip_unresponsive(&mut path, opening.attempt);
    if let Some(holder) = holder {
        path.retain(|hop| hop.target != holder.target);
        path.insert(0, holder);
    }
    Ranking { path, home }
}

/// Lets late repeats start further along the path, because the first agent may
/// be dead and not yet known to be.
fn skip_unresponsive(path: &mut [Hop], attempt: u32) {
    let skip = attempt.saturating_sub(FIRST_AGENT_ATTEMPTS - 1) as usize;
    if let length @ 2.. = path.len() {
        path.rotate_left(skip % length);
    }
}

fn parse(packet: Bytes) -> Result<Header, Drop> {
    let packet = Packet::from_bytes(packet).map_err(|error| match error {
        caller::Error::Malformed => Drop::Malformed,
        caller::Error::Version => Drop::Version,
        caller::Error::TooLarge => Drop::TooLarge,
    })?;
    let flow = packet.flow;
    let carry_on = |request, attempt, holder: &Bytes| Header {
        flow,
        request,
        kind: Kind::Continue,
        attempt,
        holder: Token::from_bytes(holder),
    };
    match packet.body.ok_or(Drop::Malformed)? {
        Body::Open(open) => Ok(Header {
            flow,
            request: 0,
            kind: Kind::Open,
            attempt: open.attempt,
            holder: None,
        }),
        Body::Request(request) => Ok(carry_on(request.request, request.attempt, &request.holder)),
        Body::Cancel(cancel) => Ok(carry_on(cancel.request, 0, &cancel.holder)),
        Body::Fetch(fetch) => Ok(carry_on(fetch.request, 0, &fetch.holder)),
        Body::Close(close) => Ok(carry_on(0, 0, &close.holder)),
        Body::Opened(_) | Body::Chunk(_) | Body::Refusal(_) | Body::Closed(_) => {
            Err(Drop::Direction)
        }
    }
}

/// A packet that could not be read is answered only where the sender can match
/// the answer to a flow.
fn reject_unreadable(sprayed: &Sprayed, reason: Drop) -> Step {
    let answer = match reason {
        Drop::Version => Reason::BadVersion,
        Drop::TooLarge => Reason::TooLarge,
        _ => return Step::Ignore(reason),
    };
    let Some(flow) = caller::flow_key(sprayed.packet.clone()) else {
        return Step::Ignore(reason);
    };
    let request = caller::request_id(sprayed.packet.clone());
    let packet = Packet::refuse(flow, request, answer, Outcome::NotRun, 0);
    reply(sprayed, &packet, reason)
}

/// Refuses a packet that reached no agent.
///
/// A first copy may have been relayed by another entry, so that only an open
/// is known not to have run.
fn refuse(sprayed: &Sprayed, opening: &Header, reason: Reason, drop: Drop) -> Step {
    let outcome = match opening.kind {
        Kind::Open => Outcome::NotRun,
        Kind::Continue => Outcome::Unknown,
    };
    let packet = Packet::refuse(
        opening.flow,
        opening.request,
        reason,
        outcome,
        retry_after_ms(opening.flow),
    );
    reply(sprayed, &packet, drop)
}

fn reply(sprayed: &Sprayed, packet: &Packet, reason: Drop) -> Step {
    Step::Refuse {
        reply: Reply {
            caller: sprayed.caller,
            service: sprayed.service,
            packet: packet.to_bytes(),
        },
        reason,
    }
}

/// Spreads the return of refused callers over one further interval.
fn retry_after_ms(flow: FlowKey) -> u32 {
    let spread = flow % u64::from(RETRY_AFTER_MS);
    RETRY_AFTER_MS + u32::try_from(spread).unwrap_or(0)
}
