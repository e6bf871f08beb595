//! A process of the deployment.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use buckthornweir_standins::{PlannedNode, uptime};
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::scenario::Name;

/// How long a process may take to stop before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon process that events may stop and start again.
pub(crate) struct Process {
    name: Name,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether the process was asked to stop or killed, so that its exit is not a crash.
    stop_requested: bool,
}

impl Process {
    /// Creates a process without starting it, and writes its settings.
    pub(crate) fn new(node: &PlannedNode, program: &Path, folder: &Path) -> Result<Self> {
        let name = Name::from(node.name.as_str());
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, &node.settings).map_err(|err| Fault::File(settings.clone(), err))?;
        let log = folder.join(format!("{name}.log"));
        Ok(Self {
            name,
            program: program.to_owned(),
            settings,
            log,
            child: None,
            stop_requested: false,
        })
    }

    pub(crate) fn name(&self) -> &Name {
        &self.name
    }

    /// Starts the process unless it is running.
    pub(crate) fn start(&mut self) -> Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|err| Fault::File(self.log.clone(), err))?;
        let output = log
            .try_clone()
            .map_err(|err| Fault::File(self.log.clone(), err))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .map_err(|err| self.fault(err))?;
        self.child = Some(child);
        self.stop_requested = false;
        Ok(())
    }

    /// Kills the process (SIGKILL).
    pub(crate) fn kill(&mut self) -> Result<()> {
        self.stop_requested = true;
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill().map_err(|err| self.fault(err))?;
        child.wait().map_err(|err| self.fault(err))?;
        Ok(())
    }

    /// Asks the process to stop (SIGTERM).
    pub(crate) fn stop(&mut self) -> Result<()> {
        self.stop_requested = true;
        self.signal("TERM")
    }

    /// Asks the process to stop, and starts it again once it has exited.
    pub(crate) async fn restart(&mut self) -> Result<()> {
        self.stop()?;
        let deadline = uptime() + STOP_TIMEOUT;
        while self.is_running()? {
            if uptime() > deadline {
                self.kill()?;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        self.start()
    }

    /// Sends a signal to the process unless it has exited.
    pub(crate) fn signal(&mut self, signal: &str) -> Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .stderr(Stdio::null())
            .status()
            .map_err(|err| self.fault(err))?;
        if status.success() {
            Ok(())
        } else {
            Err(self.fault(io::ErrorKind::NotFound.into()))
        }
    }

    /// Returns the name if the process exited unexpectedly.
    pub(crate) fn crashed(&mut self) -> Option<SmolStr> {
        let running = self.is_running().unwrap_or(false);
        (!running && !self.stop_requested).then(|| self.name.clone())
    }

    /// Kills the process if it is running, and ignores errors.
    pub(crate) fn end(&mut self) {
        if self.kill().is_err() {
            // The process has already exited.
            self.child = None;
        }
    }

    /// Returns `true` if the process is running.
    pub(crate) fn is_running(&mut self) -> Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(false);
        };
        let ended = child
            .try_wait()
            .map_err(|err| Fault::Process(self.name.clone(), err))?;
        if ended.is_some() {
            self.child = None;
        }
        Ok(ended.is_none())
    }

    fn fault(&self, err: io::Error) -> Fault {
        Fault::Process(self.name.clone(), err)
    }
}
