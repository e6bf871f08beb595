//! One process of the deployment.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use buckthornweir_standins::{PlannedNode, uptime};
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::scenario::Name;

/// How long a process that was asked to end may take before it is killed.
const STOP_LIMIT: Duration = Duration::from_secs(40);
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// A process of the system, started again and again as events ask.
pub(crate) struct Process {
    name: Name,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether an event has asked the process to end.
    asked: bool,
}

impl Process {
    /// Writes the settings of a process that is yet to start.
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
            asked: false,
        })
    }

    pub(crate) fn name(&self) -> &Name {
        &self.name
    }

    /// Starts the process, unless it runs.
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
        self.asked = false;
        Ok(())
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) -> Result<()> {
        self.asked = true;
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill().map_err(|err| self.fault(err))?;
        child.wait().map_err(|err| self.fault(err))?;
        Ok(())
    }

    /// Asks the process to end.
    pub(crate) fn stop(&mut self) -> Result<()> {
        self.asked = true;
        self.signal("TERM")
    }

    /// Asks the process to end and, when it has, starts it again.
    pub(crate) async fn restart(&mut self) -> Result<()> {
        self.stop()?;
        let limit = uptime() + STOP_LIMIT;
        while self.is_running()? {
            if uptime() > limit {
                self.kill()?;
            }
            tokio::time::sleep(STOP_PAUSE).await;
        }
        self.start()
    }

    /// Sends a signal to the process, unless it has ended.
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

    /// Returns the name when the process has ended without being asked to.
    pub(crate) fn crashed(&mut self) -> Option<SmolStr> {
        let running = self.is_running().unwrap_or(false);
        (!running && !self.asked).then(|| self.name.clone())
    }

    /// Ends the process, however it stands.
    pub(crate) fn end(&mut self) {
        if self.kill().is_err() {
            // It has ended already.
            self.child = None;
        }
    }

    /// Tells whether the process has not ended.
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
