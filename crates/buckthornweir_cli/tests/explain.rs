//! The command `explain` against a process that sends prepared replies.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::process::Command;
use std::time::Duration;

use buckthornweir_wire::prelude::*;
use buckthornweir_wire::{
    CandidateRow, CandidateVerdict, ExplainOutcome, ExplainReply, ExplainRequest, OperatorMessage,
    Reply, Request, RequestLimits, StatusReply,
};
use expect_test::expect;
use tokio::net::TcpListener;

const CALLER: &str = "192.0.2.1:40000";
const SERVICE: &str = "198.51.100.1:80";

const LINK_TIMEOUT: Duration = Duration::from_secs(20);

/// The exit codes.
const DONE: i32 = 0;
const BAD_INPUT: i32 = 2;
const UNREACHABLE: i32 = 4;
const NO_SERVICE: i32 = 6;
const NOT_BALANCER: i32 = 7;
const TOO_OLD: i32 = 8;

fn key() -> ClusterKey {
    ClusterKey::new([0x11; 32])
}

/// Replies to requests for the status, and with `explained` to requests to explain a route.
async fn serve(listener: TcpListener, explained: Option<ExplainReply>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let mut link = Link::accept(stream, &key(), LINK_TIMEOUT).await.unwrap();
        while let Ok(envelope) = link.receive(LINK_TIMEOUT).await {
            let Some(Body::Operator(message)) = envelope.body else {
                continue;
            };
            let reply = match message.request {
                Some(Request::Explain(request)) => explained.clone().map(|reply| {
                    assert_eq!(request.caller, CALLER);
                    assert_eq!(request.service, SERVICE);
                    Reply::Explain(with_holders(reply, &request))
                }),
                _ => Some(Reply::Status(StatusReply::default())),
            };
            if let Some(reply) = reply {
                let message = OperatorMessage::answer(message.id, reply);
                let envelope = Envelope::new(1, Body::Operator(Box::new(message)));
                link.send(&envelope).await.unwrap();
            }
        }
    }
}

fn with_holders(reply: ExplainReply, request: &ExplainRequest) -> ExplainReply {
    if request.key != b"order-1" {
        return reply;
    }
    ExplainReply {
        key_holders: vec!["agent-3".into(), "agent-1".into()],
        ..reply
    }
}

/// Runs the command against a process with this reply, checks its exit code and returns its output.
async fn output(reply: Option<ExplainReply>, arguments: &[&str], code: i32) -> String {
    let folder = tempfile::tempdir().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(serve(listener, reply));
    let settings = format!("[client]\nnodes = {address}\nkey = {}\n", "11".repeat(32));
    std::fs::write(folder.path().join("client.ini"), settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_buckthornweir"));
    command.current_dir(folder.path()).args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
    assert!(!server.is_finished(), "the process should not have failed");
    server.abort();
    text.replace(&address.to_string(), "NODE")
}

fn row(name: &str, state: &str, verdict: CandidateVerdict) -> CandidateRow {
    let accepts = matches!(
        verdict,
        CandidateVerdict::Chosen | CandidateVerdict::RankedLower
    );
    CandidateRow {
        name: name.into(),
        node: 1,
        domain: "fj-west-a".into(),
        state: state.into(),
        weight: if accepts { 16 } else { 0 },
        share: if accepts { 0.5 } else { 0.0 },
        free: 4,
        verdict: verdict.into(),
    }
}

fn explained() -> ExplainReply {
    ExplainReply {
        outcome: ExplainOutcome::Explained.into(),
        process: "balancer-1".into(),
        version: 7,
        view_age_millis: 1_250,
        service: "orders".into(),
        candidates: vec![
            row("agent-2", "ready", CandidateVerdict::Chosen),
            row("agent-1", "cold", CandidateVerdict::RankedLower),
            row("agent-3", "draining", CandidateVerdict::Draining),
            row("agent-4", "ready", CandidateVerdict::NoWeight),
            row("agent-5", "out", CandidateVerdict::DomainOut),
        ],
        next: "agent-1".into(),
        limits: Some(RequestLimits {
            siblings: 2,
            ask_millis: 25,
            queue: 10,
            wait_millis: 500,
            attempts: 3,
            hedged_percent: 5,
        }),
        key_holders: Vec::new(),
    }
}

fn unexplained(outcome: ExplainOutcome) -> Option<ExplainReply> {
    Some(ExplainReply {
        outcome: outcome.into(),
        process: "control-1".into(),
        version: 7,
        ..ExplainReply::default()
    })
}

/// Returns the lines that say what happens if the agent is full, refuses or fails.
async fn consequences(reply: ExplainReply, options: &[&str]) -> String {
    let arguments = [&["explain", CALLER, SERVICE], options].concat();
    let text = output(Some(reply), &arguments, DONE).await;
    let start = text.find("choice: ").unwrap();
    text[start..].to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explanations_are_printed_as_text_and_json() {
    let arguments = ["explain", CALLER, SERVICE, "--key", "order-1"];
    let text = output(Some(explained()), &arguments, DONE).await;
    expect![[r#"
        192.0.2.1:40000 to 198.51.100.1:80: service orders (http)
        asked balancer-1: bundle version 7, view built 1250 ms ago
        AGENT    DOMAIN     STATE     WEIGHT  SHARE  FREE  REASON
        agent-2  fj-west-a  ready     16      50.0%  4     chosen: placement selects it
        agent-1  fj-west-a  cold      16      50.0%  4     not chosen: ranks after the agents above
        agent-3  fj-west-a  draining  0       0.0%   4     not chosen: is draining
        agent-4  fj-west-a  ready     0       0.0%   4     not chosen: announces weight 0
        agent-5  fj-west-a  out       0       0.0%   4     not chosen: its failure domain is out
        choice: agent-2
        if it is full: it asks up to 2 of agent-1, agent-4 for a slot, each for up to 25 ms; meanwhile the request waits there for up to 500 ms behind at most 10 others, and is then refused as not run
        if it refuses: it passes the flow on to agent-1
        if it fails: it is retried only if it certainly did not run, and is not hedged; it runs at most once, as it has an idempotency key
        holders of the key: agent-3, agent-1
    "#]].assert_eq(&text);
    let mut short = explained();
    short.candidates.truncate(1);
    let arguments = ["--json", "explain", CALLER, SERVICE, "--idempotent", "no"];
    let text = output(Some(short), &arguments, DONE).await;
    expect![[r#"
        {
          "caller": "192.0.2.1:40000",
          "address": "198.51.100.1:80",
          "service": "orders",
          "protocol": "http",
          "process": "balancer-1",
          "version": 7,
          "view_age_ms": 1250,
          "candidates": [
            {
              "agent": "agent-2",
              "domain": "fj-west-a",
              "state": "ready",
              "weight": 16,
              "share": 0.5,
              "free": 4,
              "chosen": true,
              "reason": "chosen: placement selects it"
            }
          ],
          "choice": "agent-2",
          "next": "agent-1",
          "if_full": "the request waits there for up to 500 ms behind at most 10 others, and is then refused as not run",
          "if_refused": "it passes the flow on to agent-1",
          "if_failed": "it is retried only if it certainly did not run, and is not hedged",
          "key_holders": []
        }
    "#]].assert_eq(&text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn consequences_depend_on_the_request_and_the_service() {
    let text = consequences(explained(), &[]).await;
    expect![[r#"
        choice: agent-2
        if it is full: it asks up to 2 of agent-1, agent-4 for a slot, each for up to 25 ms; meanwhile the request waits there for up to 500 ms behind at most 10 others, and is then refused as not run
        if it refuses: it passes the flow on to agent-1
        if it fails: if the request is idempotent, it is retried within the retry budget, up to 3 attempts in all, and hedged within 5% of the requests; otherwise, it is retried only if it certainly did not run, and is not hedged
    "#]].assert_eq(&text);
    let text = consequences(explained(), &["--idempotent", "yes"]).await;
    expect!["if it fails: it is retried within the retry budget, up to 3 attempts in all, and hedged within 5% of the requests"].assert_eq(text.lines().next_back().unwrap());
    let mut relayed = explained();
    relayed.limits = None;
    relayed.next.clear();
    let text = consequences(relayed, &[]).await;
    expect![[r#"
        choice: agent-2
        if it is full: it drops the packet, and the caller's next SYN goes to the same agent
        if it refuses: no other agent accepts new flows; it drops the packet
        if it fails: the flow is reset; its bytes are not repeated
    "#]]
    .assert_eq(&text);
    let mut none = explained();
    none.candidates.drain(..2);
    none.next.clear();
    let text = consequences(none, &[]).await;
    expect![[r#"
        choice: none
        if it is full: no agent accepts new flows; the balancer drops the packet
        if it refuses: no agent accepts new flows; the balancer drops the packet
        if it fails: no agent accepts new flows; the balancer drops the packet
    "#]]
    .assert_eq(&text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_error_has_its_exit_code() {
    let good = ["explain", CALLER, SERVICE];
    let not_yes = ["explain", CALLER, SERVICE, "--idempotent", "maybe"];
    let cases: [(_, &[&str], _); 8] = [
        (
            unexplained(ExplainOutcome::NotBalancer),
            &good,
            NOT_BALANCER,
        ),
        (unexplained(ExplainOutcome::NoService), &good, NO_SERVICE),
        (unexplained(ExplainOutcome::NoBundle), &good, BAD_INPUT),
        (unexplained(ExplainOutcome::Unspecified), &good, UNREACHABLE),
        (None, &["explain", "192.0.2.1", SERVICE], BAD_INPUT),
        (None, &["explain", "[2001:db8::1]:1", SERVICE], BAD_INPUT),
        (None, &["explain", CALLER], BAD_INPUT),
        (None, &not_yes, BAD_INPUT),
    ];
    let mut text = String::new();
    for (reply, arguments, code) in cases {
        text += &output(reply, arguments, code).await;
    }
    expect![[r#"
        buckthornweir: control-1 is not a balancer and places no flows; name a balancer, see members
        buckthornweir: no service has the address 198.51.100.1:80 in bundle version 7 of control-1
        buckthornweir: no bundle is in force yet; push one first
        buckthornweir: the process sent a reply that this version does not support
        buckthornweir: "192.0.2.1" is not an address with a port; allowed: such as 192.0.2.1:40000 or [2001:db8::1]:40000
        buckthornweir: [2001:db8::1]:1 and 198.51.100.1:80 are not of the same IP version, so no flow can be between them
        buckthornweir: explain: SERVICE is missing; see explain --help
        buckthornweir: --idempotent "maybe" is not allowed; allowed: yes, no
    "#]].assert_eq(&text);
}

/// A process of an earlier release sends no reply to the request. Guards against reporting it as
/// unreachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_that_replies_only_to_other_requests_is_too_old() {
    let text = output(None, &["explain", CALLER, SERVICE], TOO_OLD).await;
    expect![[r#"
        buckthornweir: NODE does not answer this request; its release is too old for it
    "#]]
    .assert_eq(&text);
}
