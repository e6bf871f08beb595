//! The operators' client, which pushes bundles.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::Duration;

use buckthornweir_bundle::{Bundle, SignedBundle, SigningKey};
use buckthornweir_settings::value;
use buckthornweir_standins::uptime;

use super::settings::CLUSTER_KEY;
use crate::fault::{Fault, Result};

/// How long a push is repeated while its outcome is not known.
const PUSH_LIMIT: Duration = Duration::from_secs(30);
const PUSH_PAUSE: Duration = Duration::from_millis(200);

/// Runs `buckthornweir` against the control processes.
pub(crate) struct Operator {
    client: PathBuf,
    folder: PathBuf,
    key: SigningKey,
    controls: Vec<SocketAddr>,
}

impl Operator {
    pub(crate) fn new(client: &Path, folder: &Path, key: &SigningKey) -> Self {
        Self {
            client: client.to_owned(),
            folder: folder.to_owned(),
            key: SigningKey::from_secret(&key.secret()),
            controls: Vec::new(),
        }
    }

    pub(crate) fn add_control(&mut self, control: SocketAddr) {
        self.controls.push(control);
    }

    /// Pushes a bundle; sending it again is safe, so an unknown outcome is tried again.
    pub(crate) async fn push(&self, bundle: Bundle) -> Result<()> {
        let path = self.folder.join(format!("bundle-{}.ini", bundle.version));
        let text = SignedBundle::sign(bundle, &self.key).to_text();
        fs::write(&path, text).map_err(|err| Fault::File(path.clone(), err))?;
        let key = self.folder.join("cluster.key");
        let written = fs::write(&key, value::to_hex(&CLUSTER_KEY));
        written.map_err(|err| Fault::File(key.clone(), err))?;
        let limit = uptime() + PUSH_LIMIT;
        loop {
            let output = self.run(&path, &key).await?;
            if output.status.success() {
                return Ok(());
            }
            if uptime() > limit {
                let message = String::from_utf8_lossy(&output.stderr).trim().to_owned();
                return Err(Fault::NotInForce(message));
            }
            tokio::time::sleep(PUSH_PAUSE).await;
        }
    }

    async fn run(&self, bundle: &Path, key: &Path) -> Result<Output> {
        let controls: Vec<_> = self.controls.iter().map(ToString::to_string).collect();
        let mut command = Command::new(&self.client);
        command
            .arg("--to")
            .arg(controls.join(","))
            .arg("--key-file")
            .arg(key)
            .arg("push")
            .arg(bundle)
            .stdin(Stdio::null());
        let fault = |err| Fault::Process("buckthornweir".into(), err);
        let run = tokio::task::spawn_blocking(move || command.output()).await;
        run.map_err(|err| fault(err.into()))?.map_err(fault)
    }
}
