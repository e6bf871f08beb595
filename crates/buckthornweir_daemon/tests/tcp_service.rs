//! A `tcp` service, whose bytes are relayed, and the graceful shutdown of an agent that serves it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use buckthornweir_standins::free_tcp;
use buckthornweir_standins::prelude::*;
use buckthornweir_wire::PushOutcome;
use support::{Process, plan, push, signed, status, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const BUNDLE: &str = "
[bundle]
version = 1
[domain gulberg]
region = lahore
[service presses]
addresses = 10.100.0.9:9100
protocol = tcp
domains = gulberg
";

/// The exit code of a shutdown that did not wait for its flows.
const FORCED_EXIT_CODE: i32 = 1;

/// Checks that all bytes are relayed in both directions, that a shutdown waits for the open flow,
/// and that a second signal ends the process at once with a different exit code.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_are_relayed_until_the_second_stop_signal() {
    let mut plan = plan();
    let folder = tempfile::tempdir().unwrap();
    let echo = EchoBackend::start(free_tcp(), "presses-1", "presses")
        .await
        .unwrap();
    let bind = "127.0.0.1:0".parse().unwrap();
    let fabric = Fabric::start(FabricConfig::new(bind, 5)).await.unwrap();
    let data = folder.path().join("data");
    let control = Process::start(plan.control("control-1", "gulberg", &data), &folder);
    let balancer = Process::start(plan.balancer("balancer-1", "gulberg"), &folder);
    let planned = plan.agent("agent-1", "gulberg", "presses", echo.addr(), fabric.addr());
    let mut agent = Process::start(planned, &folder);
    fabric.set_balancers(balancer.planned.fabric.into_iter().collect());
    let key = plan.cluster_key();
    let address = control.planned.control;
    wait_for("control", async || status(address, key).await.is_some()).await;
    let reply = push(address, key, signed(BUNDLE)).await;
    assert_eq!(reply.outcome(), PushOutcome::Accepted);

    let service = "10.100.0.9:9100".parse().unwrap();
    let mut stream = None;
    wait_for("a flow", async || {
        stream = fabric.connect(service).await.ok();
        stream.is_some()
    })
    .await;
    let mut stream = stream.unwrap();
    let mut banner = vec![0; echo.banner().len()];
    stream.read_exact(&mut banner).await.unwrap();
    assert_eq!(String::from_utf8(banner).unwrap(), echo.banner());
    let sent: Vec<u8> = (0..40_000u32).map(|number| number as u8).collect();
    let mut received = vec![0; sent.len()];
    let (mut reader, mut writer) = tokio::io::split(stream);
    let write = async { writer.write_all(&sent).await.unwrap() };
    let read = async { reader.read_exact(&mut received).await.unwrap() };
    tokio::join!(write, read);
    assert_eq!(received, sent);

    agent.signal("TERM");
    tokio::time::sleep(Duration::from_secs(3)).await;
    writer.write_all(b"still here").await.unwrap();
    let mut answer = [0; 10];
    reader.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"still here");
    agent.signal("TERM");
    assert_eq!(agent.ended().await, Some(FORCED_EXIT_CODE));
}
