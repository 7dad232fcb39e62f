//! Child processes of a deployment.
use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Command;
use std::process::Stdio;

/// Signal to a child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: planned stop.
    Stop,
    /// SIGHUP: planned stop of an agent to make room for a successor; gateways
    /// and sidecars only log it.
    Replace,
    /// SIGKILL: crash.
    Kill,
    /// SIGSTOP: freeze.
    Freeze,
    /// SIGCONT: end of a freeze.
    Thaw,
}

/// Child process, which is killed when the value is dropped.
pub struct Child {
    process: process::Child,
    log: PathBuf,
}

impl Child {
    /// Starts a process and appends its output to a log file.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let process = command
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self {
            process,
            log: log.to_path_buf(),
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal by the command `kill`, whose exit status is ignored.
    ///
    /// # Errors
    ///
    /// The operating system's error where the command cannot be started.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let name = match signal {
            Signal::Stop => "-TERM",
            Signal::Replace => "-HUP",
            Signal::Kill => "-KILL",
            Signal::Freeze => "-STOP",
            Signal::Thaw => "-CONT",
        };
        Command::new("kill")
            .args([name, &self.process.id().to_string()])
            .status()
            .map(drop)
    }

    /// Waits until the process has exited; returns whether it succeeded.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(self.process.wait()?.success())
    }

    /// Returns whether the process succeeded, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn try_wait(&mut self) -> io::Result<Option<bool>> {
        let status = self.process.try_wait()?;
        Ok(status.map(|status| status.success()))
    }

    /// Returns the content of the log file, empty where it cannot be read.
    #[must_use]
    pub fn output(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
