//! Runs the operators' client to push bundles and query the processes.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use buckthornweir_bundle::{Bundle, SignedBundle, SigningKey, Version};
use buckthornweir_settings::value;
use buckthornweir_standins::uptime;
use serde::Deserialize;

use crate::fault::{Fault, Result};

/// How long a failing command is retried.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The fields used of a process's entry in the output of `status`.
#[derive(Deserialize)]
struct ProcessStatus {
    version: Version,
    members: u64,
}

/// Runs `buckthornweir` with its own settings and signing key.
pub(crate) struct Operator {
    client: PathBuf,
    folder: PathBuf,
    key: SigningKey,
}

impl Operator {
    pub(crate) fn new(client: &Path, folder: &Path) -> Self {
        Self {
            client: client.to_owned(),
            folder: folder.to_owned(),
            key: SigningKey::generate(),
        }
    }

    /// Returns the public key that processes trust, in hexadecimal.
    pub(crate) fn public_key(&self) -> String {
        value::to_hex(&self.key.public())
    }

    /// Writes the client's settings.
    pub(crate) fn write_settings(&self, controls: &[SocketAddr], cluster: &str) -> Result<()> {
        let nodes: Vec<_> = controls.iter().map(ToString::to_string).collect();
        let key = self.write("operator.key", &value::to_hex(&self.key.secret()))?;
        let text = format!(
            "[client]\nnodes = {}\nkey = {cluster}\nsigning-key = {}\ntrusted = {}\n",
            nodes.join(", "),
            key.display(),
            self.public_key()
        );
        self.write("client.ini", &text)?;
        Ok(())
    }

    /// Signs and pushes a bundle. Pushing the same bundle again is safe.
    pub(crate) async fn push(&self, bundle: Bundle) -> Result<()> {
        let name = format!("bundle-{}.ini", bundle.version);
        let text = SignedBundle::sign(bundle, &self.key).to_text();
        let path = self.write(&name, &text)?;
        self.run(&["push", &path.display().to_string()]).await
    }

    /// Takes a failure domain out or brings it back.
    pub(crate) async fn set_domain(&self, name: &str, out: bool) -> Result<()> {
        self.run(&["domain", if out { "out" } else { "back" }, name])
            .await
    }

    /// Waits until at least `processes` processes have this version of the bundle or a later one,
    /// and know at least `members` members. Returns the time that took, or `None` after the
    /// timeout.
    pub(crate) async fn wait_in_force(
        &self,
        version: Version,
        processes: usize,
        members: usize,
    ) -> Option<Duration> {
        let start = uptime();
        let is_up_to_date = |process: &&ProcessStatus| {
            process.version >= version && process.members >= members as u64
        };
        while uptime() < start + COMMAND_TIMEOUT {
            let status = self.status().await.unwrap_or_default();
            if status.iter().filter(is_up_to_date).count() >= processes {
                return Some(uptime() - start);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Queries the status of all processes.
    async fn status(&self) -> Result<Vec<ProcessStatus>> {
        let output = self.output(&["--json", "status"]).await?;
        Ok(serde_json::from_slice(&output.stdout)?)
    }

    /// Runs a command, and retries it until it succeeds or the timeout passes.
    async fn run(&self, arguments: &[&str]) -> Result<()> {
        let deadline = uptime() + COMMAND_TIMEOUT;
        loop {
            match self.run_once(arguments).await? {
                None => return Ok(()),
                Some(message) if uptime() > deadline => return Err(Fault::NotAccepted(message)),
                Some(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Runs a command once. Returns its error output if it exits with a failure.
    async fn run_once(&self, arguments: &[&str]) -> Result<Option<String>> {
        let output = self.output(arguments).await?;
        if output.status.success() {
            return Ok(None);
        }
        Ok(Some(
            String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        ))
    }

    async fn output(&self, arguments: &[&str]) -> Result<Output> {
        let mut command = Command::new(&self.client);
        let settings = self.folder.join("client.ini");
        command
            .arg("--settings")
            .arg(settings)
            .args(arguments)
            .stdin(Stdio::null());
        let fault = |err| Fault::Process("buckthornweir".into(), err);
        let run = tokio::task::spawn_blocking(move || command.output()).await;
        run.map_err(|err| fault(err.into()))?.map_err(fault)
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.folder.join(name);
        fs::write(&path, text).map_err(|err| Fault::File(path.clone(), err))?;
        Ok(path)
    }
}
