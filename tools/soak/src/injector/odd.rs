//! Odd entries of another writer, and settings whose numbers change their form.
use std::io;
use std::time::Duration;

use async_io::Timer;
use platform_standin::call;
use platform_standin::call::Announcement;

use super::Injector;
use crate::address::ANNOUNCEMENT_PORT;
use crate::address::socket;
use crate::checker::Invariant;

/// Prefixes under which odd entries are left.
const PREFIXES: [&str; 2] = ["op/", "greengagelug/entries/"];

/// Depth of nesting beyond that of any parser that uses the stack.
const DEPTH: usize = 20_000;

/// Time-out of an odd announcement.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Part of a millisecond by which the bounds change.
const PART: Duration = Duration::from_micros(500);

impl Injector {
    /// Leaves odd entries in the store for a time, and announces odd backend servers to
    /// all sidecars meanwhile.
    pub(super) async fn leave_odd_entries(&self, duration: Duration) -> io::Result<()> {
        for prefix in PREFIXES {
            for (key, item) in odd_entries(prefix) {
                self.harness.borrow().store.write_odd(&key, &item);
            }
        }
        let servers = self.harness.borrow().servers.len();
        for server in 0..servers {
            let Some((to, announcement)) = self.announcement_of(server) else {
                continue;
            };
            let taken = call::announce_oddly(to, &announcement, CALL_TIMEOUT).await;
            if taken > 0 {
                let harness = &mut *self.harness.borrow_mut();
                let now = harness.now();
                let text = format!("the sidecar of server {server} took {taken} odd announcements");
                harness
                    .checker
                    .record_violation(Invariant::Process, now, text);
            }
        }
        Timer::after(duration).await;
        self.harness.borrow().store.delete_odd();
        Ok(())
    }

    /// Returns the address for announcements beside a backend server that runs, and its
    /// newest announcement.
    fn announcement_of(&self, server: usize) -> Option<(std::net::SocketAddr, Announcement)> {
        let harness = self.harness.borrow();
        let to = harness.network.process(harness.host_of(server));
        let instance = harness.servers[server].instance.as_ref()?;
        Some((socket(to, ANNOUNCEMENT_PORT), instance.announcement.clone()))
    }

    /// Changes the bounds of all settings by part of a millisecond, and restarts one
    /// gateway and one sidecar.
    pub(super) async fn change_bounds(&self) -> io::Result<()> {
        let hosts = self.hosts(100);
        self.for_each(&hosts, |host| {
            let bounds = &mut host.settings.bounds;
            bounds.heartbeat += PART;
            bounds.stop += PART;
            bounds.reuse += PART;
            bounds.oldest_flow += PART;
            bounds.evacuation += PART;
            host.write_settings()
        })?;
        let mut restarted = self.gateways(0);
        restarted.extend(self.sidecars(0));
        self.roll(restarted).await
    }
}

/// Returns odd entries with the keys at which they are listed: before, among and after
/// those of others.
fn odd_entries(prefix: &str) -> Vec<(String, String)> {
    let (open, close) = ("[".repeat(DEPTH), "]".repeat(DEPTH));
    let odd = [
        (
            " &after=~",
            r#"{"key":"KEY","value":"","revision":1}"#.into(),
        ),
        (
            "0",
            format!(r#"{{"key":"KEY","value":{open}{close},"revision":1}}"#),
        ),
        (
            "127.0.0.1:70000",
            r#"{"key":"KEY","value":"","revision":1}"#.into(),
        ),
        (
            "255.255.255.255:0",
            r#"{"key":"KEY","value":"","revision":1}"#.into(),
        ),
        ("z", r#"{"key":"KEY","value":"","revision":1e999}"#.into()),
        ("zz", r#"{"key":7,"value":null}"#.into()),
    ];
    let place = |(name, item): (&str, String)| {
        let key = format!("{prefix}{name}");
        let item = item.replace("KEY", &key);
        (key, item)
    };
    odd.map(place).into()
}
