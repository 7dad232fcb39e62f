//! Commands of the operator, and what the entries report.
use std::process::Command;
use std::process::Output;
use std::thread;
use std::time::Duration;

use super::Deployment;
use super::ENTRIES;
use super::Result;
use crate::program;

/// Largest number of attempts of a command or of a check for readiness, and the
/// pause between two.
const MAX_ATTEMPTS: u32 = 300;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Deployment {
    /// Runs `operate` with the given arguments at the first entry that answers.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn operate(&self, arguments: &[&str]) -> Result<Output> {
        let entries: Vec<String> = (1..=ENTRIES)
            .map(|entry| self.socket_address(1, entry, 7002))
            .collect();
        let output = Command::new(program("greengagelug"))
            .args(["operate", "--entries", &entries.join(",")])
            .args(arguments)
            .output()?;
        Ok(output)
    }

    /// Repeats `operate` until it succeeds, and returns its output.
    ///
    /// # Errors
    ///
    /// The last output, where no attempt succeeded.
    pub fn operate_until_success(&self, arguments: &[&str]) -> Result<String> {
        let mut output = self.operate(arguments)?;
        for _ in 0..MAX_ATTEMPTS {
            if output.status.success() {
                return Ok(String::from_utf8(output.stdout)?);
            }
            thread::sleep(RETRY_PAUSE);
            output = self.operate(arguments)?;
        }
        Err(format!("operate {arguments:?} did not succeed: {output:?}").into())
    }

    /// Waits until every running entry has `targets` ready targets.
    ///
    /// # Errors
    ///
    /// Fails where at the last attempt some running entry still has another
    /// number of ready targets.
    pub fn wait_ready(&self, targets: usize) -> Result<()> {
        for _ in 0..MAX_ATTEMPTS {
            let ready = (1..=ENTRIES)
                .filter(|entry| self.children.contains_key(&format!("entry-{entry}")))
                .all(|entry| self.count_ready_targets(entry) == targets);
            if ready {
                return Ok(());
            }
            thread::sleep(RETRY_PAUSE);
        }
        Err(format!(
            "not every running entry has {targets} ready targets after {MAX_ATTEMPTS} attempts"
        )
        .into())
    }

    /// Returns whether the status of every entry has a line that begins with
    /// `line`.
    #[must_use]
    pub fn all_entries_report(&self, line: &str) -> bool {
        (1..=ENTRIES).all(|entry| {
            let status = self.status(entry);
            status.lines().any(|printed| printed.starts_with(line))
        })
    }

    /// Returns the number of targets that are ready at an entry.
    fn count_ready_targets(&self, entry: u8) -> usize {
        self.status(entry)
            .lines()
            .filter(|line| line.starts_with("target: ") && line.contains(" ready"))
            .count()
    }

    /// Returns the output of `operate status` at an entry; empty where the
    /// command fails.
    fn status(&self, entry: u8) -> String {
        Command::new(program("greengagelug"))
            .args([
                "operate",
                "--entries",
                &self.socket_address(1, entry, 7002),
                "status",
            ])
            .output()
            .map(|output| String::from_utf8_lossy(&output.stdout).into_owned())
            .unwrap_or_default()
    }
}
