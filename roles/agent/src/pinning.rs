//! Pins the flows held here at their homes, and stores the pins that other
//! agents send.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use flow::Flow;
use flow::table::Phase;
use route::pin::Holder;
use route::pin::Outcome;
use wire::FlowKey;
use wire::Frame;
use wire::Hop;
use wire::Relay;
use wire::Target;
use wire::Token;
use wire::frame::Pin;

use crate::Agent;
use crate::Settings;
use crate::agent::Outbox;
use crate::status::Counter;

/// Largest number of flows in one pin or unpin frame.
const MAX_BATCH_FLOWS: usize = 128;

/// Number of flow table slots scanned in one step.
const STEP_SLOTS: usize = 1_024;

/// Time between two steps of a renewal round.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Schedule of the rounds in which pins are renewed.
///
/// Each round scans the flow table in steps. A round after a change of the view
/// pins only flows whose home has changed or restarted; a periodic round renews
/// all pins.
#[derive(Debug)]
pub(crate) struct Renewal {
    interval: Duration,
    next_round: Duration,
    round: Option<Round>,
}

#[derive(Clone, Copy, Debug)]
struct Round {
    next_slot: usize,
    /// Slots still to scan; after the last slot of the table the scan wraps
    /// around.
    slots_left: usize,
    next_step: Duration,
    renews_all: bool,
}

impl Renewal {
    pub(crate) fn new(settings: &Settings, now: Duration) -> Self {
        let interval = settings.pins.lifetime / 3;
        Self {
            interval,
            next_round: now + interval,
            round: None,
        }
    }

    /// Starts a round over `slots` slots after a change of the view. A round in
    /// progress continues from its position, so that frequent changes do not
    /// confine it to the first slots.
    pub(crate) fn restart(&mut self, now: Duration, slots: usize) {
        let round = self.round.unwrap_or(Round {
            next_slot: 0,
            slots_left: slots,
            next_step: now,
            renews_all: false,
        });
        self.round = Some(Round {
            slots_left: slots,
            ..round
        });
    }

    pub(crate) fn next_deadline(&self) -> Duration {
        let step = self.round.map(|round| round.next_step);
        step.unwrap_or(self.next_round).min(self.next_round)
    }

    fn start_if_due(&mut self, now: Duration, slots: usize) {
        if self.next_round <= now {
            self.next_round = now + self.interval;
            self.restart(now, slots);
            if let Some(round) = &mut self.round {
                round.renews_all = true;
            }
        }
    }
}

/// Flows by the address of their home.
pub(crate) type Batches = BTreeMap<SocketAddr, Vec<FlowKey>>;

impl Agent {
    pub(crate) fn on_pin(&mut self, outbox: &mut Outbox<'_>, pin: &Pin) {
        if pin.service != self.identity.service {
            self.counters.add(Counter::ForeignService);
            return;
        }
        let holder = Holder {
            token: pin.holder,
            address: pin.address,
        };
        for &flow in &pin.flows {
            let outcome = self.pins.pin(outbox.now, pin.service, flow, holder);
            if outcome == Outcome::Full {
                self.counters.add(Counter::PinTableFull);
            }
        }
    }

    pub(crate) fn on_unpin(&mut self, pin: &Pin) {
        for &flow in &pin.flows {
            self.pins.unpin(pin.service, flow, pin.holder);
        }
    }

    /// Returns the pinned holder of a flow that has its home here, unless that
    /// incarnation is known to have left.
    pub(crate) fn pinned(&self, flow: FlowKey) -> Option<Hop> {
        let holder = self.pins.get(self.identity.service, flow)?;
        let target = holder.token.target;
        let has_left = self
            .departed
            .get(&target)
            .is_some_and(|&incarnation| incarnation >= holder.token.incarnation);
        if target == self.identity.id || has_left {
            return None;
        }
        // A newer incarnation at another address may have inherited the flow.
        let address = self
            .target(target)
            .map_or(holder.address, |target| target.address);
        Some(Hop { target, address })
    }

    /// Pins a newly opened flow at its home.
    pub(crate) fn pin_opened(&mut self, outbox: &mut Outbox<'_>, home: Hop, key: FlowKey) {
        // If the entry's view is newer than this agent's, the home is unknown
        // here and the next round pins the flow again.
        let known_home = self.target(home.target).map(token);
        if let Some(flow) = self.flows.get_mut(key) {
            flow.home = known_home;
        }
        if home.target != self.identity.id {
            let flows = vec![key];
            outbox.send(home.address, Frame::Pin(self.pin_frame(flows)));
        }
    }

    /// Removes the pins of ended flows from their homes.
    pub(crate) fn unpin(&mut self, outbox: &mut Outbox<'_>, flows: impl IntoIterator<Item = Flow>) {
        let mut batches = Batches::new();
        for flow in flows {
            let home = flow.home.and_then(|home| self.target(home.target));
            if let Some(home) = home.filter(|home| home.id != self.identity.id) {
                batches.entry(home.address).or_default().push(flow.key);
            }
        }
        for (to, flows) in batches {
            for flows in flows.chunks(MAX_BATCH_FLOWS) {
                outbox.send(to, Frame::Unpin(self.pin_frame(flows.to_vec())));
            }
        }
    }

    /// Unpins a flow at its home if the home forwarded a packet here and this
    /// agent does not hold the flow.
    pub(crate) fn report_stale_pin(
        &mut self,
        outbox: &mut Outbox<'_>,
        relay: &Relay,
        flow: FlowKey,
    ) {
        let previous = usize::from(relay.position)
            .checked_sub(1)
            .and_then(|index| relay.path.get(index));
        let is_from_home = previous.is_some_and(|hop| hop.target == relay.home.target);
        if is_from_home && self.claiming.is_none() {
            self.counters.add(Counter::StalePin);
            let flows = vec![flow];
            outbox.send(relay.home.address, Frame::Unpin(self.pin_frame(flows)));
        }
    }

    /// Runs the next step of a renewal round if it is due.
    pub(crate) fn renew_pins(&mut self, outbox: &mut Outbox<'_>) {
        if self.pins.next_deadline().is_some_and(|at| at <= outbox.now) {
            self.pins.expire(outbox.now);
        }
        self.renewal.start_if_due(outbox.now, self.flows.slots());
        let due = self
            .renewal
            .round
            .filter(|round| round.next_step <= outbox.now);
        if let Some(round) = due {
            self.renewal.round = self.step_round(outbox, round);
        }
    }

    fn step_round(&mut self, outbox: &mut Outbox<'_>, round: Round) -> Option<Round> {
        let slots = STEP_SLOTS.min(round.slots_left);
        if slots == 0 {
            return None;
        }
        let Some(flows) = self.flows.scan(round.next_slot, slots) else {
            // Past the last slot.
            let next_slot = 0;
            return (round.next_slot > 0).then_some(Round { next_slot, ..round });
        };
        let flows: Vec<Flow> = flows.copied().collect();
        let mut batches = Batches::new();
        for flow in flows.iter().filter(|flow| flow.phase != Phase::Closed) {
            self.renew_pin(flow, round.renews_all, &mut batches);
        }
        self.send_pins(outbox, batches);
        Some(Round {
            next_slot: round.next_slot + slots,
            slots_left: round.slots_left - slots,
            next_step: outbox.now + STEP_INTERVAL,
            renews_all: round.renews_all,
        })
    }

    fn renew_pin(&mut self, flow: &Flow, renews_all: bool, batches: &mut Batches) {
        let Some(home) = self.order.home(flow.key) else {
            return;
        };
        let home_changed = flow.home != Some(token(home));
        if home.id != self.identity.id && (home_changed || renews_all) {
            batches.entry(home.address).or_default().push(flow.key);
        }
        let home = token(home);
        if let Some(flow) = self.flows.get_mut(flow.key) {
            flow.home = Some(home);
        }
    }

    pub(crate) fn send_pins(&self, outbox: &mut Outbox<'_>, batches: Batches) {
        for (to, flows) in batches {
            for flows in flows.chunks(MAX_BATCH_FLOWS) {
                outbox.send(to, Frame::Pin(self.pin_frame(flows.to_vec())));
            }
        }
    }

    fn pin_frame(&self, flows: Vec<FlowKey>) -> Pin {
        Pin {
            service: self.identity.service,
            holder: self.token,
            address: self.identity.address,
            flows,
        }
    }

    pub(crate) fn expire_flows(&mut self, outbox: &mut Outbox<'_>) {
        let mut expired = Vec::new();
        self.flows.expire(outbox.now, &mut expired);
        for flow in &expired {
            self.ledger.remove_seen(flow.key);
            match flow.phase {
                Phase::HalfOpen => self.counters.add(Counter::HalfOpenExpired),
                Phase::Open => self.counters.add(Counter::Expired),
                Phase::Closed => {}
            }
        }
        let live = expired
            .into_iter()
            .filter(|flow| flow.phase != Phase::Closed);
        self.unpin(outbox, live);
    }
}

/// Returns the token of a target's announced incarnation.
const fn token(target: &Target) -> Token {
    Token {
        target: target.id,
        incarnation: target.incarnation,
    }
}
