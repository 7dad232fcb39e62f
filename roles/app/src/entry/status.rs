//! State of the system as an entry reports it to operators.
use api::operator::Counter;
use api::operator::Health;
use api::operator::InForce;
use api::operator::Process;
use api::operator::Role;
use api::operator::StatusReply;
use api::operator::TargetStatus;
use async_channel::Sender;
use config::Evacuations;
use config::Service;
use config::Update;
use config::era;
use member::Registry;
use member::View;
use member::view::Member;
use wire::Revision;
use wire::target::State;

use crate::directory;
use crate::entry::control::Input;
use crate::metric::Sample;
use crate::operator::Snapshot;

/// Source of the system's state that queries the control thread.
pub struct Source {
    /// Queue of inputs to the control thread.
    pub control: Sender<Input>,
}

impl Snapshot for Source {
    async fn accept(&self, update: Update) {
        let _ = self.control.send(Input::Update(update)).await;
    }

    async fn evacuate(&self, evacuations: Evacuations, index: Revision) {
        let input = Input::Evacuations { evacuations, index };
        let _ = self.control.send(input).await;
    }

    async fn status(&self) -> StatusReply {
        let (reply, status) = async_channel::bounded(1);
        let _ = self.control.send(Input::Status(reply)).await;
        status.recv().await.unwrap_or_default()
    }
}

/// Returns the state of the system as this entry knows it.
#[must_use]
pub fn describe(registry: &Registry, evacuated: &Evacuations, samples: &[Sample]) -> StatusReply {
    let services: Vec<InForce> = registry.views().filter_map(in_force).collect();
    let processes = registry
        .entries()
        .filter(|entry| !entry.has_left)
        .map(|entry| Process {
            address: entry.address.to_string(),
            role: Role::Entry.into(),
            zone: entry.zone.into(),
            incarnation: entry.incarnation,
            ..Process::default()
        })
        .collect();
    let targets = registry
        .views()
        .flat_map(|view| targets(view, evacuated))
        .collect();
    StatusReply {
        processes,
        services,
        targets,
        counters: samples.iter().map(counter).collect(),
    }
}

fn in_force(view: &View) -> Option<InForce> {
    let config = view.config.as_ref()?;
    let operation = Service::from_bytes(&config.body).ok()?.operation;
    Some(InForce {
        address: view.address.to_string(),
        revision: era::number(config.revision),
        operation,
    })
}

fn targets(view: &View, evacuated: &Evacuations) -> Vec<TargetStatus> {
    let service = directory::service(view);
    let service = service.map(|service| directory::evacuate(service, evacuated));
    view.targets
        .values()
        .map(|member| target(member, service.as_ref()))
        .collect()
}

fn target(member: &Member, service: Option<&Service>) -> TargetStatus {
    let target = &member.target;
    let drained = service.is_some_and(|service| service.is_drained(target.id, target.zone));
    let health = match target.state {
        State::Left => Health::Left,
        _ if member.health == member::Health::Down => Health::Down,
        State::Draining => Health::Draining,
        State::Ready if drained => Health::Draining,
        State::Ready => Health::Ready,
    };
    TargetStatus {
        target: target.id,
        service: target.service.to_string(),
        agent: target.address.to_string(),
        zone: target.zone.into(),
        health: health.into(),
        weight: target.weight,
        slots: target.slots.into(),
        incarnation: target.incarnation,
    }
}

fn counter(sample: &Sample) -> Counter {
    let name = match sample.reason.as_str() {
        "" => sample.name.clone(),
        reason => format!("{}.{reason}", sample.name),
    };
    Counter {
        name,
        value: sample.value,
    }
}
