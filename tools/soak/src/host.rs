//! A host with one process of the system.
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use platform_standin::Host as Settings;
use proof::Child;
use proof::Signal;
use proof::program;

use crate::link;
use crate::proxy;

/// Signing key that all processes of a run share: `1:` and the bytes of `soak`,
/// repeated, in hex.
const SIGN_KEY: &str = "1:736f616b736f616b736f616b736f616b736f616b736f616b736f616b736f616b";

/// Cause of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Planned work, such as a restart.
    Planned,
    /// A fault.
    Fault,
}

/// Disturbances of one cause: the number of active ones, and when the last one
/// ended.
#[derive(Clone, Copy, Debug, Default)]
struct Disturbances {
    active: u32,
    ended: Duration,
}

/// A host with one process of the system, which is a gateway or a sidecar.
pub struct Host {
    /// Content of the settings file.
    pub settings: Settings,
    /// UDP address that the process binds for frames.
    pub bind: SocketAddr,
    /// Faults injected into the frames of the host.
    pub link_fault: link::Fault,
    /// Faults injected into the connections of the host to the store.
    pub proxy_fault: proxy::Fault,
    role: &'static str,
    folder: PathBuf,
    child: Option<Child>,
    down_count: u32,
    freeze_count: u32,
    planned: Disturbances,
    faults: Disturbances,
}

impl Host {
    /// Creates a host whose process does not run yet.
    #[must_use]
    pub fn new(settings: Settings, bind: SocketAddr, role: &'static str, folder: PathBuf) -> Self {
        Self {
            settings,
            bind,
            link_fault: link::Fault::default(),
            proxy_fault: proxy::Fault::default(),
            role,
            folder,
            child: None,
            down_count: 0,
            freeze_count: 0,
            planned: Disturbances::default(),
            faults: Disturbances::default(),
        }
    }

    /// Records that a disturbance of the host begins.
    pub fn begin_disturbance(&mut self, cause: Cause) {
        self.disturbances(cause).active += 1;
    }

    /// Records that a disturbance of the host has ended.
    pub fn end_disturbance(&mut self, now: Duration, cause: Cause) {
        let disturbances = self.disturbances(cause);
        disturbances.active = disturbances.active.saturating_sub(1);
        disturbances.ended = now;
    }

    /// Returns whether nothing has disturbed the host since `time`. With
    /// [`Cause::Fault`] only faults count, with [`Cause::Planned`] planned work
    /// as well.
    #[must_use]
    pub fn is_undisturbed_since(&self, time: Duration, cause: Cause) -> bool {
        let is_undisturbed =
            |disturbances: Disturbances| disturbances.active == 0 && disturbances.ended <= time;
        match cause {
            Cause::Planned => is_undisturbed(self.planned) && is_undisturbed(self.faults),
            Cause::Fault => is_undisturbed(self.faults),
        }
    }

    /// Starts the process, unless it runs or is to stay down.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn start(&mut self) -> io::Result<()> {
        if self.down_count > 0 || self.child.is_some() {
            return Ok(());
        }
        self.write_settings()?;
        let boot = self.boot();
        let mut command = Command::new(program("greengagelug"));
        command
            .arg(self.role)
            .arg("--boot")
            .arg(&boot)
            .args(["--bind", &self.bind.to_string()])
            .args(["--log-format", "compact"])
            .env("GREENGAGELUG_SIGN_KEY", SIGN_KEY);
        self.child = Some(Child::start(&mut command, &self.log())?);
        self.settings.is_first_start = false;
        Ok(())
    }

    /// Writes the settings file, as the platform does whenever the settings change.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn write_settings(&self) -> io::Result<()> {
        fs::write(self.boot(), self.settings.encode())
    }

    fn boot(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.settings.name))
    }

    /// Returns the path of the log that all processes of the host append to.
    #[must_use]
    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.settings.name))
    }

    /// Kills the process and keeps it down until [`Self::bring_up`].
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn take_down(&mut self) -> io::Result<()> {
        self.down_count += 1;
        match self.child.take() {
            Some(mut child) => {
                child.signal(Signal::Kill)?;
                child.wait().map(drop)
            }
            None => Ok(()),
        }
    }

    /// Undoes one [`Self::take_down`] or [`Self::request_stop`], and starts the
    /// process unless another one keeps it down. The new process is not frozen,
    /// even if its predecessor was.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn bring_up(&mut self) -> io::Result<()> {
        self.down_count = self.down_count.saturating_sub(1);
        self.freeze_count = 0;
        self.start()
    }

    /// Sends SIGTERM to the process and keeps it down until [`Self::bring_up`].
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn request_stop(&mut self) -> io::Result<()> {
        self.down_count += 1;
        self.signal(Signal::Stop)
    }

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let child = self.child.as_ref();
        child.map_or(Ok(()), |child| child.signal(signal))
    }

    /// Freezes the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn freeze(&mut self) -> io::Result<()> {
        self.freeze_count += 1;
        self.signal(Signal::Freeze)
    }

    /// Undoes one [`Self::freeze`], and resumes the process unless another one
    /// keeps it frozen.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn thaw(&mut self) -> io::Result<()> {
        self.freeze_count = self.freeze_count.saturating_sub(1);
        match self.freeze_count {
            0 => self.signal(Signal::Thaw),
            _ => Ok(()),
        }
    }

    /// Returns whether the process is frozen.
    #[must_use]
    pub const fn is_frozen(&self) -> bool {
        self.freeze_count > 0
    }

    /// Returns whether the process succeeded, once it has exited; a host
    /// without a process counts as exited with success.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn poll_exit(&mut self) -> io::Result<Option<bool>> {
        let Some(child) = &mut self.child else {
            return Ok(Some(true));
        };
        let ended = child.try_wait()?;
        if ended.is_some() {
            self.child = None;
        }
        Ok(ended)
    }

    /// Returns whether the process has exited although it was not to stay down.
    pub fn has_exited_unexpectedly(&mut self) -> bool {
        let runs = self.down_count == 0 && self.child.is_some();
        runs && matches!(self.poll_exit(), Ok(Some(_)))
    }

    fn disturbances(&mut self, cause: Cause) -> &mut Disturbances {
        match cause {
            Cause::Planned => &mut self.planned,
            Cause::Fault => &mut self.faults,
        }
    }
}
