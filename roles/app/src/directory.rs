//! Service configurations and targets taken from views of the membership protocol.
use config::Drained;
use config::Evacuations;
use config::Service;
use member::Health;
use member::View;
use wire::Target;
use wire::target::State;

/// Returns the configuration of a service, or `None` if none is known, it cannot
/// be decoded, or the service was deleted.
#[must_use]
pub fn service(view: &View) -> Option<Service> {
    let record = view.config.as_ref()?;
    let service = Service::from_bytes(&record.body).ok()?;
    service.is_active().then_some(service)
}

/// Returns the targets that may hold flows: those that have not left and are not
/// marked down. Targets drained by operators get the state `Draining`.
#[must_use]
pub fn targets(view: &View, service: &Service) -> Vec<Target> {
    view.targets
        .values()
        .filter(|member| member.health != Health::Down)
        .filter(|member| member.target.state != State::Left)
        .map(|member| apply_drain(member.target.clone(), service))
        .collect()
}

/// Adds the evacuated zones to those that operators drain for this service.
#[must_use]
pub fn evacuate(mut service: Service, evacuated: &Evacuations) -> Service {
    let zones = evacuated.zones.keys().copied();
    service.drained.extend(zones.map(Drained::Zone));
    service
}

fn apply_drain(mut target: Target, service: &Service) -> Target {
    if service.is_drained(target.id, target.zone) {
        target.state = State::Draining;
    }
    target
}
