//! Case: the sidecar of one target freezes, and that of another is killed meanwhile. An
//! outdated copy of an opening packet makes the new sidecar deny a flow that its target
//! holds, and the gateway resets it.
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Failure;
use crate::client::Flow;
use crate::small::Small;
use crate::small::serve_all;
use crate::system::SIGCONT;
use crate::system::SIGSTOP;
use crate::util::elapsed;
use crate::util::record;
use crate::util::sleep_ms;

/// Number of clients' flows that are opened while the sidecar is frozen.
const FLOWS: usize = 24;

/// Length of the freeze. Longer than the time after which a silent target gets no new flows.
const FREEZE_MS: u64 = 3_200;

/// Time after which a killed process is started again.
const RESTART_MS: u64 = 700;

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut small = Small::start(1, 2, 8, 1_200)?;
    let first = small.start_target(small.place(0))?;
    let second = small.start_target(small.place(1))?;
    let host = small.client(101)?;
    serve_all(&host, small.route, &[&first.place.id, &second.place.id])?;
    record("quiet for 20 s");
    sleep_ms(20_000);

    let frozen_at = Instant::now();
    if trouble {
        small.sidecars[1].signal(SIGSTOP);
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
    let mut flows: Vec<Flow> = Vec::new();
    for thread in opening {
        match thread.join().map_err(|_| "a client failed")? {
            Ok((flow, signature)) if signature.starts_with(&first.place.id) => flows.push(flow),
            Ok((flow, _)) => flow.close(),
            Err(failure) => record(format!("client: a flow was not served: {failure:?}")),
        }
    }
    record(format!("{} flows are open at {}", flows.len(), first.place.id));
    if trouble {
        let machine = small.sides[0].clone();
        small.sidecars.remove(0).kill();
        sleep_ms(RESTART_MS);
        small.sidecars.insert(0, small.deployment.start(&machine, false));
        thread::sleep(Duration::from_millis(FREEZE_MS).saturating_sub(frozen_at.elapsed()));
        small.sidecars[1].signal(SIGCONT);
    } else {
        sleep_ms(FREEZE_MS);
    }
    // All machines are in touch again after 4 s.
    sleep_ms(5_500);

    record("the open flows are used again");
    let mut is_broken = false;
    let mut resets = 0;
    for (number, flow) in flows.iter_mut().enumerate() {
        let is_held = first.holds(host.address(), flow.port);
        let answer = flow.request(&format!("second-{number}"), Duration::from_millis(3_000));
        let text = match &answer {
            Ok(answer) => format!("answered by {}", answer.signature),
            Err(failure) => format!("{failure:?}"),
        };
        record(format!("client: flow from port {}: held by {}: {is_held}; {text}", flow.port, first.place.id));
        let is_reset = is_held && answer.err() == Some(Failure::ResetBySystem);
        is_broken |= is_reset;
        resets += usize::from(is_reset);
    }
    record(format!("{resets} of {} flows were reset; the run took {:.1} s", flows.len(), elapsed().as_secs_f64()));
    small.end();
    if flows.is_empty() {
        return Err("no flow was opened".to_owned());
    }
    Ok(is_broken)
}
