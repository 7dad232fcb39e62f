//! Measures the pin table: memory per pin and time of each operation.
use std::hint::black_box;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

use route::hash::finalize;
use route::pin::Holder;
use route::pin::Settings;
use route::pin::Table;
use serde::Serialize;
use wire::Token;

use crate::timing;

const FLOWS: [u64; 3] = [1000, 100_000, 500_000];

/// Number of agents that hold the flows.
const HOLDERS: u64 = 7;

const SERVICE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Columns of the table.
pub const HEADER: [&str; 6] = [
    "flows",
    "bytes a pin",
    "pin ns",
    "renew ns",
    "get ns",
    "expire ns a pin",
];

/// Results with one number of flows.
#[derive(Debug, Serialize)]
pub struct Row {
    flows: u64,
    /// Memory per pin in bytes.
    bytes: f64,
    /// Time to add a pin.
    pin_ns: f64,
    /// Time to renew a pin.
    renew_ns: f64,
    /// Time to look up a pin.
    get_ns: f64,
    /// Time to expire a pin.
    expire_ns: f64,
}

/// Measures all numbers of flows.
pub fn measure() -> Vec<Row> {
    FLOWS.into_iter().map(row).collect()
}

/// Formats the rows as cells of the table.
pub fn cells(rows: &[Row]) -> Vec<Vec<String>> {
    let cells = |row: &Row| {
        vec![
            row.flows.to_string(),
            format!("{:.0}", row.bytes),
            format!("{:.0}", row.pin_ns),
            format!("{:.0}", row.renew_ns),
            format!("{:.0}", row.get_ns),
            format!("{:.0}", row.expire_ns),
        ]
    };
    rows.iter().map(cells).collect()
}

#[allow(clippy::cast_precision_loss)]
fn row(flows: u64) -> Row {
    let settings = Settings::default();
    let mut table = Table::new(settings);
    let nanos_per_flow = |start: Instant| start.elapsed().as_secs_f64() * 1e9 / flows as f64;
    let start = Instant::now();
    for flow in 0..flows {
        // The flows open evenly over the lifetime of a pin.
        let now = settings.lifetime.mul_f64(flow as f64 / flows as f64);
        table.pin(now, SERVICE, finalize(flow), holder(flow));
    }
    let pin_ns = nanos_per_flow(start);
    let bytes = table.bytes() as f64 / flows as f64;
    let get_ns = timing::nanos(|call| {
        black_box(table.get(SERVICE, finalize(call * 7919 % flows)));
    });
    let renewed = settings.lifetime;
    let renew_ns = timing::nanos(|call| {
        let flow = call * 7919 % flows;
        table.pin(renewed, SERVICE, finalize(flow), holder(flow));
    });
    let start = Instant::now();
    let expired = table.expire(renewed + settings.lifetime * 2);
    let expire_ns = nanos_per_flow(start);
    assert_eq!(expired as u64, flows, "every pin expires");
    Row {
        flows,
        bytes,
        pin_ns,
        renew_ns,
        get_ns,
        expire_ns,
    }
}

fn holder(flow: u64) -> Holder {
    Holder {
        token: Token {
            target: flow % HOLDERS,
            incarnation: 1,
        },
        address: SERVICE,
    }
}
