//! Runs the program's commands against a control process and checks their output and exit codes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::Path;
use std::process::{Command, Output};
use std::time::Duration;

use buckthornweir_daemon::prelude::*;
use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{
    Body, ClusterKey, ControlReply, Envelope, Link, MemberRow, MembersReply, OperatorMessage,
    Reply, Request,
};
use expect_test::{Expect, expect};
use tempfile::TempDir;
use tokio::net::TcpListener;

/// Longest wait for a message of the program.
const LIMIT: Duration = Duration::from_secs(20);
const DONE: i32 = 0;
const BAD_INPUT: i32 = 2;
const CONFLICT: i32 = 3;
const UNREACHABLE: i32 = 4;
const UNKNOWN: i32 = 5;
const NOT_BALANCER: i32 = 7;

const BUNDLE: &str = "
[bundle]
version = 1
[domain fj-west-a]
region = fj-west
[domain fj-west-b]
region = fj-west
[service orders]
addresses = 10.100.0.1:80
domains = fj-west-a, fj-west-b
";

struct Harness {
    folder: TempDir,
    _node: Option<Node>,
}

fn run(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_buckthornweir"))
        .current_dir(folder)
        .args(arguments)
        .output()
        .unwrap()
}

impl Harness {
    fn run(&self, arguments: &[&str], code: i32, expected: &Expect) {
        let output = run(self.folder.path(), arguments);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).unwrap();
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
        expected.assert_eq(&text);
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.path().join(name), text).unwrap();
    }

    /// Signs the bundle in `text` and writes the result to the file `name`.
    fn sign(&self, name: &str, text: &str) {
        self.write("unsigned.ini", text);
        let output = run(self.folder.path(), &["bundle", "sign", "unsigned.ini"]);
        assert_eq!(output.status.code(), Some(DONE));
        std::fs::write(self.folder.path().join(name), output.stdout).unwrap();
    }
}

/// Starts a control process that trusts a newly generated key, and writes the client's settings.
async fn start() -> Harness {
    let folder = tempfile::tempdir().unwrap();
    let output = run(folder.path(), &["bundle", "keygen", "operator.key"]);
    let text = String::from_utf8(output.stdout).unwrap();
    let public = text.trim().rsplit(' ').next().unwrap();
    let mut plan = Plan::new(public);
    let planned = plan.control("control-1", "fj-west-a", &folder.path().join("data"));
    let settings = Settings::parse("control-1.ini", &planned.settings).unwrap();
    let node = Node::start(settings).await.unwrap();
    let harness = Harness {
        folder,
        _node: Some(node),
    };
    harness.write(
        "client.ini",
        &format!(
            "[client]\nnodes = {}\nkey = {}\nsigning-key = operator.key\ntrusted = {public}\n",
            planned.control,
            plan.cluster_key()
        ),
    );
    harness
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn commands_sign_push_and_change_bundles() {
    let harness = start().await;
    harness.run(
        &["bundle", "show"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: no bundle is in force yet; push one first
    "#]],
    );
    harness.write("one.ini", BUNDLE);
    harness.run(
        &["push", "one.ini"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: one.ini: section [signature] is missing; sign the bundle first
    "#]],
    );
    harness.sign("signed.ini", BUNDLE);
    harness.run(
        &["push", "signed.ini"],
        DONE,
        &expect![[r#"
        version 1 is stored and goes out to every process
    "#]],
    );
    harness.run(
        &["push", "signed.ini"],
        DONE,
        &expect![[r#"
        version 1 was stored before; nothing changed
    "#]],
    );
    harness.sign(
        "other.ini",
        &BUNDLE.replace("10.100.0.1:80", "10.100.0.9:80"),
    );
    harness.run(&["push", "other.ini"], CONFLICT, &expect![[r#"
        buckthornweir: version 1 is held by another bundle, with digest d4240e0c3414642652dfb65091d4775762aded58e778b8cb68af9463115db03a; nothing was changed
    "#]]);
    harness.run(
        &["domain", "out", "fj-west-b"],
        DONE,
        &expect![[r#"
        version 2 is stored and goes out to every process
    "#]],
    );
    harness.run(
        &["push", "signed.ini"],
        DONE,
        &expect![[r#"
        version 1 was stored before; nothing changed
    "#]],
    );
    harness.run(
        &["domain", "out", "fj-west-a"],
        BAD_INPUT,
        &expect![[r#"
            buckthornweir: the bundle was refused: push:16: [service orders] domains leaves no failure domain that is in; allowed: at least one, or force = yes in [bundle]
        "#]],
    );
    harness.run(
        &["domain", "back", "nowhere"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: there is no failure domain nowhere; allowed: fj-west-a, fj-west-b
    "#]],
    );
    harness.run(
        &["bundle", "diff", "one.ini"],
        DONE,
        &expect![[r#"
        - [bundle] version = 2
        - [domain fj-west-b] state = out
        + [bundle] version = 1
        + [domain fj-west-b] state = in
    "#]],
    );
    let settings = std::fs::read_to_string(harness.folder.path().join("client.ini")).unwrap();
    let untrusting = settings.lines().filter(|l| !l.starts_with("trusted"));
    harness.write("untrusting.ini", &untrusting.collect::<Vec<_>>().join("\n"));
    let arguments = [
        "--settings",
        "untrusting.ini",
        "domain",
        "back",
        "fj-west-b",
    ];
    let output = run(harness.folder.path(), &arguments);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(BAD_INPUT), "{text}");
    assert!(text.ends_with("is not trusted\n"), "{text}");
    harness.run(
        &["timeline", "--kind", "domain-uot"],
        BAD_INPUT,
        &expect![[r#"
            buckthornweir: there is no event domain-uot; allowed: started, stopping, stopped, bundle-applied, bundle-refused, domain-out, domain-back, member-changed, role-changed, link-lost, backend-changed, flow-reset, flows-moved, request-ended
        "#]],
    );
    harness.run(
        &["drain", "control-1"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: control-1 is not an agent; only agents drain
    "#]],
    );
    harness.run(
        &["explain", "192.0.2.1:40000", "10.100.0.1:80", "control-1"],
        NOT_BALANCER,
        &expect![[r#"
        buckthornweir: control-1 is not a balancer and places no flows; name a balancer, see members
    "#]],
    );
    harness.run(
        &["timeline", "--kind", "domain-out", "--since", "0s"],
        DONE,
        &expect![[r#"
             TIME  PROCESS  EVENT  DETAIL
        "#]],
    );
}

/// What a control process does with a request for a change.
#[derive(Clone, Copy)]
enum OnChange {
    /// It ends the link without a reply.
    LosesReply,
    /// It replies, and states whether the change may have been made.
    Rejects { unknown: bool },
}

/// Answers requests for members, and treats changes of the control processes as `on_change` says.
async fn serve_changes(listener: TcpListener, key: ClusterKey, on_change: OnChange) {
    let address = listener.local_addr().unwrap().to_string();
    while let Ok((stream, _)) = listener.accept().await {
        let mut link = Link::accept(stream, &key, LIMIT).await.unwrap();
        let Some(Body::Operator(message)) = link.receive(LIMIT).await.unwrap().body else {
            continue;
        };
        let row = MemberRow {
            name: "control-1".into(),
            roles: "control".into(),
            control: address.clone(),
            ..MemberRow::default()
        };
        let reply = match (message.request, on_change) {
            (Some(Request::Members(_)), _) => Reply::Members(MembersReply { rows: vec![row] }),
            (_, OnChange::LosesReply) => continue,
            (_, OnChange::Rejects { unknown }) => Reply::Control(ControlReply {
                fault: "rejected".into(),
                unknown,
                ..ControlReply::default()
            }),
        };
        let reply = OperatorMessage {
            id: message.id,
            request: None,
            reply: Some(reply),
        };
        let envelope = Envelope::new(0, Body::Operator(Box::new(reply)));
        link.send(&envelope).await.unwrap();
    }
}

/// Guards against a change of the control processes that was made and is reported as not made: the
/// operator would choose another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_whose_reply_is_lost_is_not_reported_as_not_made() {
    for (on_change, code, text) in [
        (OnChange::LosesReply, UNKNOWN, "it is not known whether"),
        (
            OnChange::Rejects { unknown: true },
            UNKNOWN,
            "it is not known whether",
        ),
        (
            OnChange::Rejects { unknown: false },
            UNREACHABLE,
            "the control processes were not changed: rejected",
        ),
    ] {
        let folder = tempfile::tempdir().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let key = "11".repeat(32);
        let settings = format!("[client]\nnodes = {address}\nkey = {key}\n");
        std::fs::write(folder.path().join("client.ini"), settings).unwrap();
        let server = tokio::spawn(serve_changes(
            listener,
            ClusterKey::new([0x11; 32]),
            on_change,
        ));
        let output = run(folder.path(), &["control", "remove", "00000000000000aa"]);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(code), "{errors}");
        assert!(errors.contains(text), "{errors}");
        server.abort();
    }
}

#[test]
fn bad_input_and_unreachable_processes_have_distinct_exit_codes() {
    let harness = Harness {
        folder: tempfile::tempdir().unwrap(),
        _node: None,
    };
    harness.run(
        &[],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: no command; see --help
    "#]],
    );
    harness.run(
        &["status"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: client.ini: cannot be read: No such file or directory (os error 2)
    "#]],
    );
    harness.run(
        &["push"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: client.ini: cannot be read: No such file or directory (os error 2)
    "#]],
    );
    harness.write("client.ini", "[client]\nnodes = 127.0.0.1:1\nkey = 00\n");
    harness.run(&["status"], BAD_INPUT, &expect![[r#"
        buckthornweir: client.ini:3: [client] key = "00" is not allowed; allowed: 64 hexadecimal digits
    "#]]);
    let key = "11".repeat(32);
    harness.write(
        "client.ini",
        &format!("[client]\nnodes = 127.0.0.1:1\nkey = {key}\n"),
    );
    harness.run(&["status"], UNREACHABLE, &expect![[r#"
        buckthornweir: no process answers; tried 127.0.0.1:1: connection: Connection refused (os error 111)
    "#]]);
    harness.run(
        &["push"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: push: FILE is missing; see push --help
    "#]],
    );
    harness.write("bad.ini", "[bundle]\nversion = 0\n");
    harness.run(&["bundle", "check", "bad.ini"], BAD_INPUT, &expect![[r#"
        buckthornweir: bad.ini:2: [bundle] version = "0" is not allowed; allowed: a whole number from 1 to 18446744073709551614
    "#]]);
    harness.run(
        &["timeline", "--since", "soon"],
        BAD_INPUT,
        &expect![[r#"
        buckthornweir: "soon" is not a length of time; allowed: such as 10m or 2h
    "#]],
    );
}
