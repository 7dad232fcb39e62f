//! Case: the `Deregister` of an earlier incarnation arrives after a new incarnation of the
//! target has registered under the same id.
use std::time::Duration;
use std::time::Instant;

use crate::client::Failure;
use crate::client::Flow;
use crate::client::Host;
use crate::proxy::Path;
use crate::small::Small;
use crate::small::serve_all;
use crate::util::elapsed;
use crate::util::record;
use crate::util::sleep_ms;

/// Time after which a machine without disruption is in touch, and more.
const CALM_MS: u64 = 5_000;

/// Longest cut; the disruption lasts 5 s where a day states no time.
const CUT_MS: u64 = 4_500;

pub fn run(trouble: bool) -> Result<bool, String> {
    let mut small = Small::start(2, 2, 8, 1_200)?;
    let net = small.net.clone();
    // The path of the first target to its machine's control address.
    let before = net.at(small.sides[0].number, net.control + 5);
    let control = net.at(small.sides[0].number, net.control);
    let path = Path::start(before, control).map_err(|error| error.to_string())?;
    let mut place = small.place(0);
    place.control = before;
    let first = small.start_target(place.clone())?;
    let second = small.start_target(small.place(1))?;
    let host = small.client(101)?;
    serve_all(&host, small.route, &[&first.place.id, &second.place.id])?;

    record("the first target is restarted: it drains, deregisters, ends, and starts again");
    if !first.drain() {
        return Err("draining was not acknowledged".to_owned());
    }
    sleep_ms(3_300);
    let cut_at = Instant::now();
    first.deregister(Duration::from_secs(1), || {
        if trouble {
            path.cut();
        }
    });
    if trouble {
        sleep_ms(1_500);
    }
    first.end();
    let first = crate::target::Target::start(place).map_err(|error| error.to_string())?;
    if trouble {
        let left = Duration::from_millis(CUT_MS).saturating_sub(cut_at.elapsed());
        std::thread::sleep(left);
        path.heal();
    }
    for _ in 0..400 {
        if first.is_acknowledged() {
            break;
        }
        sleep_ms(10);
    }
    if !first.is_acknowledged() {
        return Err("the new incarnation did not register".to_owned());
    }
    let mut flows = open_at(&host, &small, &format!("{}-{}", first.place.id, first.born))?;
    if trouble {
        // A segment that was repeated in vain for some seconds is repeated late.
        path.release();
    }
    sleep_ms(CALM_MS + 500);

    record(format!("{} open flows are used again", flows.len()));
    let mut is_broken = false;
    for (number, flow) in flows.iter_mut().enumerate() {
        let is_held = first.holds(host.address(), flow.port);
        let answer = flow.request(&format!("second-{number}"), Duration::from_millis(3_000));
        let text = match &answer {
            Ok(answer) => format!("answered by {}", answer.signature),
            Err(failure) => format!("{failure:?}"),
        };
        record(format!("client: flow from port {}: held by its target: {is_held}; {text}", flow.port));
        is_broken |= is_held && answer.err() == Some(Failure::ResetBySystem);
    }
    record("new flows after that:");
    let mut shares = std::collections::BTreeMap::new();
    for number in 0..20 {
        let target = match host.open(small.route) {
            Ok(mut flow) => {
                let answer = flow.request(&format!("after-{number}"), Duration::from_millis(1_000));
                flow.close();
                answer.map_or_else(|failure| format!("{failure:?}"), |answer| answer.signature)
            }
            Err(failure) => format!("{failure:?}"),
        };
        *shares.entry(target).or_insert(0) += 1;
    }
    record(format!("{shares:?}"));
    record(format!("heartbeats of the new incarnation acknowledged: {}", first.is_acknowledged()));
    record(format!("the run took {:.1} s", elapsed().as_secs_f64()));
    small.end();
    Ok(is_broken)
}

/// Opens flows until some of them are at this incarnation, each with one request.
fn open_at(host: &std::sync::Arc<Host>, small: &Small, signature: &str) -> Result<Vec<Flow>, String> {
    let mut flows = Vec::new();
    for number in 0..60 {
        let Ok(mut flow) = host.open(small.route) else {
            continue;
        };
        let answer = flow.request(&format!("first-{number}"), Duration::from_millis(1_000));
        if answer.is_ok_and(|answer| answer.signature == signature) {
            record(format!("client: flow from port {} is open at {signature}", flow.port));
            flows.push(flow);
        } else {
            flow.close();
        }
        if flows.len() == 4 {
            return Ok(flows);
        }
    }
    Err("the new incarnation got too few flows".to_owned())
}
