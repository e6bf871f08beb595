//! Helpers that are shared by the tests with daemon processes.
#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

pub(crate) mod deployment;
pub(crate) mod repeating_backend;

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use buckthornweir_bundle::prelude::*;
use buckthornweir_settings::value;
use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{
    Body, ClusterKey, Envelope, Link, MembersRequest, OperatorMessage, PushOutcome, PushReply,
    PushRequest, Reply, Request, StatusReply, StatusRequest,
};
use tempfile::TempDir;

/// How long a test waits for a condition before it fails.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum number of log lines of each process that are printed when a test fails.
const MAX_SHOWN_LINES: usize = 60;

/// Returns the key that signs the bundles of tests.
pub(crate) fn signing_key() -> SigningKey {
    SigningKey::from_secret(&[7; 32])
}

/// Returns a plan whose processes trust the signing key of the tests.
pub(crate) fn plan() -> Plan {
    let filter = std::env::var("BUCKTHORNWEIR_TEST_LOG");
    let filter = filter.as_deref().unwrap_or("warn");
    Plan::new(value::to_hex(&signing_key().public())).with_log(filter)
}

/// Parses and signs a bundle and returns its signed text.
pub(crate) fn signed(text: &str) -> String {
    let bundle = Bundle::parse("bundle.ini", text).unwrap();
    SignedBundle::sign(bundle, &signing_key()).to_text()
}

/// Sends an operator's request to one process and returns the reply.
pub(crate) async fn ask(control: SocketAddr, key: &str, request: Request) -> Option<Reply> {
    let key = ClusterKey::new(value::hex(key).unwrap());
    let mut link = Link::dial(control, &key, WAIT_TIMEOUT).await.ok()?;
    let message = OperatorMessage::ask(1, request);
    let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
    link.send(&envelope).await.ok()?;
    loop {
        let reply = link.receive(WAIT_TIMEOUT).await.ok()?;
        if let Some(Body::Operator(message)) = reply.body {
            return message.reply;
        }
    }
}

/// Pushes a signed bundle, retrying while there is no quorum.
pub(crate) async fn push(control: SocketAddr, key: &str, text: String) -> PushReply {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let request = Request::Push(PushRequest { text: text.clone() });
        let reply = match ask(control, key, request).await {
            Some(Reply::Push(reply)) => reply,
            other => panic!("push was answered by {other:?}"),
        };
        // An election may be under way.
        if reply.outcome() != PushOutcome::NoQuorum || Instant::now() > deadline {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the status of a process, or `None` when it does not reply.
pub(crate) async fn status(control: SocketAddr, key: &str) -> Option<StatusReply> {
    match ask(control, key, Request::Status(StatusRequest {})).await {
        Some(Reply::Status(reply)) => Some(reply),
        _ => None,
    }
}

/// Returns the number of members that are neither dead nor left in the view of a process.
pub(crate) async fn alive(control: SocketAddr, key: &str) -> usize {
    match ask(control, key, Request::Members(MembersRequest {})).await {
        Some(Reply::Members(reply)) => {
            let is_alive = |h: &str| !matches!(h, "dead" | "left");
            reply.rows.iter().filter(|r| is_alive(&r.health)).count()
        }
        _ => 0,
    }
}

/// Waits until `done` returns true; `what` describes the condition in the failure message.
pub(crate) async fn wait_for(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !done().await {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Connects a caller, retrying while the deployment is starting.
pub(crate) async fn connect(fabric: &Fabric, service: SocketAddr) -> HttpCaller {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match HttpCaller::connect(fabric, service).await {
            Ok(caller) => return caller,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
    }
}

/// One daemon process, killed on drop.
pub(crate) struct Process {
    /// The name, settings and addresses of the process.
    pub(crate) planned: PlannedNode,
    child: Child,
    /// The output of the process. The open file stays readable after the folder is deleted.
    lines: File,
    settings: PathBuf,
    proxy: Option<Proxy>,
}

impl Process {
    /// Starts the daemon with the planned settings, written to `folder`.
    pub(crate) fn start(planned: PlannedNode, folder: &TempDir) -> Self {
        let settings = folder.path().join(format!("{}.ini", planned.name));
        std::fs::write(&settings, &planned.settings).unwrap();
        let lines = settings.with_extension("log");
        let lines = OpenOptions::new()
            .create(true)
            .append(true)
            .read(true)
            .open(lines);
        let lines = lines.unwrap();
        let child = spawn(&settings, &lines);
        Self {
            planned,
            child,
            lines,
            settings,
            proxy: None,
        }
    }

    /// Starts the daemon as [`Process::start`] does, behind `proxy` if there is one.
    pub(crate) fn start_behind(
        proxy: Option<&Proxy>,
        planned: PlannedNode,
        folder: &TempDir,
    ) -> Self {
        if let Some(proxy) = proxy {
            proxy.add(&planned).unwrap();
        }
        let mut process = Self::start(planned, folder);
        process.proxy = proxy.cloned();
        process.register();
        process
    }

    fn register(&self) {
        if let Some(proxy) = &self.proxy {
            proxy.set_process(&self.planned.name, self.child.id());
        }
    }

    /// Kills the process and waits for its exit.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts the process again with the same settings.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.lines);
        self.register();
    }

    /// Sends the process the signal called `name`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Prints the last lines of the process's output.
    fn print_log_tail(&mut self) {
        let mut text = String::new();
        let read = self
            .lines
            .rewind()
            .and_then(|()| self.lines.read_to_string(&mut text));
        let lines: Vec<_> = text.lines().collect();
        eprintln!("last lines of {} ({read:?}):", self.planned.name);
        for line in &lines[lines.len().saturating_sub(MAX_SHOWN_LINES)..] {
            eprintln!("    {line}");
        }
    }

    /// Waits until the process has exited and returns its exit code.
    pub(crate) async fn ended(&mut self) -> Option<i32> {
        let mut code = None;
        let child = &mut self.child;
        wait_for("the end of a process", async || {
            let ended = child.try_wait().unwrap();
            code = ended.and_then(|status| status.code());
            ended.is_some()
        })
        .await;
        code
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            self.print_log_tail();
        }
    }
}

fn spawn(settings: &Path, lines: &File) -> Child {
    Command::new(env!("CARGO_BIN_EXE_buckthornweird"))
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(lines.try_clone().unwrap())
        .spawn()
        .unwrap()
}
