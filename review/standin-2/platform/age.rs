//! Case: a target crashes and starts again while it cannot reach its machine's control
//! address, and the time of day of the machine was ahead at that moment.
use std::time::Duration;
use std::time::Instant;

use crate::client::Failure;
use crate::client::Flow;
use crate::proxy::Path;
use crate::small::Small;
use crate::small::serve_all;
use crate::target::Target;
use crate::util::elapsed;
use crate::util::record;
use crate::util::sleep_ms;

/// Length of the cut.
const CUT_MS: u64 = 4_800;

/// Time by which the time of day is ahead at the target's start. It is back before the
/// cut ends.
const AHEAD_MS: u64 = 2_000;

/// Time after which all machines are in touch again, and more.
const CALM_MS: u64 = 5_500;

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut small = Small::start(1, 2, 8, 770)?;
    let net = small.net.clone();
    let before = net.at(small.sides[0].number, net.control + 5);
    let control = net.at(small.sides[0].number, net.control);
    let path = Path::start(before, control).map_err(|error| error.to_string())?;
    let mut place = small.place(0);
    place.control = before;
    let mut first = small.start_target(place.clone())?;
    let second = small.start_target(small.place(1))?;
    let host = small.client(101)?;
    serve_all(&host, small.route, &[&first.place.id, &second.place.id])?;
    sleep_ms(5_000);

    first.wait_for_heartbeat();
    let cut_at = Instant::now();
    if trouble {
        path.cut();
        record("the first target crashes and starts again behind the cut");
        first.end();
        place.clock_ahead = Duration::from_millis(AHEAD_MS);
        first = Target::start(place).map_err(|error| error.to_string())?;
    }
    let signature = format!("{}-{}", first.place.id, first.born);
    let mut flows: Vec<Flow> = Vec::new();
    for number in 0..40 {
        if cut_at.elapsed() > Duration::from_millis(1_300) || flows.len() == 8 {
            break;
        }
        let Ok(mut flow) = host.open(small.route) else {
            continue;
        };
        match flow.request(&format!("first-{number}"), Duration::from_millis(1_000)) {
            Ok(answer) if answer.signature == signature => flows.push(flow),
            _ => flow.close(),
        }
    }
    record(format!("{} flows are open at {signature}", flows.len()));
    if trouble {
        std::thread::sleep(Duration::from_millis(CUT_MS).saturating_sub(cut_at.elapsed()));
        path.heal();
    }
    first.wait_for_heartbeat();
    sleep_ms(CALM_MS);

    record("the open flows are used again");
    let mut resets = 0;
    for (number, flow) in flows.iter_mut().enumerate() {
        let is_held = first.holds(host.address(), flow.port);
        let answer = flow.request(&format!("second-{number}"), Duration::from_millis(3_000));
        let text = match &answer {
            Ok(answer) => format!("answered by {}", answer.signature),
            Err(failure) => format!("{failure:?}"),
        };
        record(format!("client: flow from port {}: held by {signature}: {is_held}; {text}", flow.port));
        resets += usize::from(is_held && answer.err() == Some(Failure::ResetBySystem));
    }
    record(format!("{resets} of {} flows were reset; the run took {:.1} s", flows.len(), elapsed().as_secs_f64()));
    small.end();
    if flows.is_empty() {
        return Err("no flow was opened".to_owned());
    }
    Ok(resets > 0)
}
