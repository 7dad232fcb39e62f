//! Case: the sidecar of one target freezes for a moment, and then this target crashes and
//! starts again. Flows that were opened at another target meanwhile are reset.
use std::thread;
use std::time::Duration;

use crate::client::Failure;
use crate::client::Flow;
use crate::small::Small;
use crate::small::serve_all;
use crate::system::SIGCONT;
use crate::system::SIGSTOP;
use crate::target::Target;
use crate::util::elapsed;
use crate::util::record;
use crate::util::sleep_ms;

/// Number of clients' flows that are opened while the sidecar is frozen.
const FLOWS: usize = 96;

const FREEZE_MS: u64 = 800;

/// Time for which the target is down.
const DOWN_MS: u64 = 1_400;

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut small = Small::start(1, 8, 2, 770)?;
    let place = small.place(0);
    let other = small.start_target(place.clone())?;
    let mut calm = Vec::new();
    for side in 1..8 {
        calm.push(small.start_target(small.place(side))?);
    }
    let mut ids: Vec<&str> = calm.iter().map(|target| target.place.id.as_str()).collect();
    ids.push(&place.id);
    let host = small.client(101)?;
    serve_all(&host, small.route, &ids)?;
    record(format!("{} is the target that will crash; the others are calm throughout", place.id));
    // The machines of the calm targets and the gateway are in touch.
    sleep_ms(5_000);

    if trouble {
        small.sidecars[0].signal(SIGSTOP);
    }
    let opening: Vec<_> = (0..FLOWS)
        .map(|number| {
            let (host, route) = (host.clone(), small.route);
            thread::spawn(move || {
                let mut flow = host.open(route)?;
                let answer = flow.request(&format!("first-{number}"), Duration::from_millis(1_000))?;
                Ok::<_, Failure>((flow, answer.signature))
            })
        })
        .collect();
    if trouble {
        sleep_ms(FREEZE_MS);
        small.sidecars[0].signal(SIGCONT);
    }
    let mut flows: Vec<(Flow, usize)> = Vec::new();
    for thread in opening {
        match thread.join().map_err(|_| "a client failed")? {
            Ok((flow, signature)) => match calm.iter().position(|target| signature.starts_with(&target.place.id)) {
                Some(holder) => flows.push((flow, holder)),
                None => flow.close(),
            },
            Err(failure) => record(format!("client: a flow was not served: {failure:?}")),
        }
    }
    record(format!("{} flows are open at calm targets", flows.len()));
    sleep_ms(500);
    let other = if trouble {
        record("the target crashes");
        other.end();
        sleep_ms(DOWN_MS);
        let other = Target::start(place).map_err(|error| error.to_string())?;
        sleep_ms(1_000);
        if !other.is_acknowledged() {
            return Err("the other target is not back".to_owned());
        }
        other
    } else {
        sleep_ms(DOWN_MS + 1_500);
        other
    };

    record("the open flows are used again");
    let mut resets = 0;
    for (number, (flow, holder)) in flows.iter_mut().enumerate() {
        let calm = &calm[*holder];
        let is_held = calm.holds(host.address(), flow.port);
        let answer = flow.request(&format!("second-{number}"), Duration::from_millis(3_000));
        let text = match &answer {
            Ok(answer) => format!("answered by {}", answer.signature),
            Err(failure) => format!("{failure:?}"),
        };
        record(format!("client: flow from port {}: held by {}: {is_held}; {text}", flow.port, calm.place.id));
        resets += usize::from(is_held && answer.err() == Some(Failure::ResetBySystem));
    }
    record(format!("requests run by the target since its last start: {}", other.runs().len()));
    record(format!("{resets} of {} flows were reset; the run took {:.1} s", flows.len(), elapsed().as_secs_f64()));
    small.end();
    if flows.is_empty() {
        return Err("no flow was opened at the calm target".to_owned());
    }
    Ok(resets > 0)
}
