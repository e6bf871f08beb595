//! Tests of backend servers and their faults, with a plain hyper client.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Write;
use std::time::Duration;

use buckthornweir_standins::{
    AnswerBody, Backend, BackendConfig, End, Fault, LoadReport, headers, uptime,
};
use bytes::Bytes;
use expect_test::expect;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

const WORK: Duration = Duration::from_millis(300);
/// How long a client waits for an answer, which bounds the test of silent connections.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a condition to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// The result of one request, as its client saw it.
#[derive(Debug)]
enum Observed {
    Whole(StatusCode, Bytes, bool),
    Short(StatusCode),
    Broken,
    Nothing,
}

type Sender = SendRequest<Empty<Bytes>>;

fn config() -> BackendConfig {
    BackendConfig::new("127.0.0.1:0".parse().unwrap(), "o1", "orders")
        .with_lag(Duration::from_millis(5))
}

async fn connect(backend: &Backend) -> Sender {
    let stream = TcpStream::connect(backend.addr()).await.unwrap();
    let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

fn request(path: &str, id: &str) -> Request<Empty<Bytes>> {
    let builder = Request::get(path)
        .header("host", "orders")
        .header(headers::REQUEST_ID, id);
    builder.body(Empty::new()).unwrap()
}

async fn send(sender: &mut Sender, request: Request<Empty<Bytes>>) -> Observed {
    let answer = async {
        let Ok(response) = sender.send_request(request).await else {
            return Observed::Broken;
        };
        let (parts, body) = response.into_parts();
        let refused = parts
            .headers
            .get(headers::NOT_RUN)
            .is_some_and(|value| value == "yes");
        match body.collect().await {
            Ok(whole) => Observed::Whole(parts.status, whole.to_bytes(), refused),
            Err(_) => Observed::Short(parts.status),
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, answer)
        .await
        .unwrap_or(Observed::Nothing)
}

fn describe(seen: &Observed) -> String {
    match seen {
        Observed::Whole(status, _, true) => format!("{} not run", status.as_u16()),
        Observed::Whole(status, _, false) => format!("{} whole", status.as_u16()),
        Observed::Short(status) => format!("{} short", status.as_u16()),
        Observed::Broken => "broken".into(),
        Observed::Nothing => "nothing".into(),
    }
}

/// Waits until a condition is true.
async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = uptime() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(
            uptime() < deadline,
            "the condition did not become true in time"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the answer of the health endpoint. With `draining`, waits until it reports the drain.
async fn health(backend: &Backend, draining: bool) -> String {
    let deadline = uptime() + CONDITION_TIMEOUT;
    loop {
        let seen = send(&mut connect(backend).await, request("/-/health", "")).await;
        let seen = describe(&seen);
        if !draining || seen.starts_with("503") {
            return seen;
        }
        assert!(
            uptime() < deadline,
            "the health endpoint did not report the drain in time"
        );
    }
}

#[tokio::test]
async fn each_fault_has_its_effect_on_old_and_new_connections() {
    let faults = [
        Fault::None,
        Fault::Shed,
        Fault::Drain,
        Fault::Late(Duration::from_millis(30)),
        Fault::Silent,
        Fault::CutBeforeAnswer,
        Fault::CutAfterHeaders,
        Fault::CutMidBody,
        Fault::LyingHealth,
        Fault::LyingLoad,
    ];
    let mut table = String::new();
    for fault in faults {
        let backend = Backend::start(config()).await.unwrap();
        let mut old = connect(&backend).await;
        send(&mut old, request("/", "a0")).await;
        backend.set_fault(fault);
        let first = send(&mut old, request("/?bytes=5000", "a1")).await;
        let mut new = connect(&backend).await;
        let second = send(&mut new, request("/?bytes=5000", "a2")).await;
        let health = health(&backend, fault == Fault::Drain).await;
        let ends: Vec<_> = backend.records()[1..]
            .iter()
            .map(|entry| entry.end)
            .collect();
        writeln!(
            table,
            "{fault:?}: old {}, new {}, health {}, log {ends:?}, old closed {}",
            describe(&first),
            describe(&second),
            health,
            old.is_closed(),
        )
        .unwrap();
    }
    expect![[r#"
        None: old 200 whole, new 200 whole, health 200 whole, log [Done, Done], old closed false
        Shed: old 503 not run, new 503 not run, health 200 whole, log [Refused, Refused], old closed false
        Drain: old 200 whole, new 200 whole, health 503 whole, log [Done, Done], old closed true
        Late(30ms): old 200 whole, new 200 whole, health 200 whole, log [Done, Done], old closed false
        Silent: old nothing, new 200 whole, health 200 whole, log [Done], old closed true
        CutBeforeAnswer: old broken, new broken, health 200 whole, log [Cut, Cut], old closed true
        CutAfterHeaders: old 200 short, new 200 short, health 200 whole, log [Cut, Cut], old closed true
        CutMidBody: old 200 short, new 200 short, health 200 whole, log [Cut, Cut], old closed true
        LyingHealth: old 500 whole, new 500 whole, health 200 whole, log [Failed, Failed], old closed false
        LyingLoad: old 200 whole, new 200 whole, health 200 whole, log [Done, Done], old closed false
    "#]]
    .assert_eq(&table);
}

#[tokio::test]
async fn answers_contain_the_id_and_path_of_the_request() {
    let backend = Backend::start(config()).await.unwrap();
    let mut sender = connect(&backend).await;
    let Observed::Whole(status, bytes, false) =
        send(&mut sender, request("/a/b?bytes=3", "a1")).await
    else {
        panic!("no whole answer");
    };
    assert_eq!(status, StatusCode::OK);
    expect![[r#"{"service":"orders","backend":"o1","request_id":"a1","path":"/a/b?bytes=3","padding":"xxx"}"#]]
        .assert_eq(std::str::from_utf8(&bytes).unwrap());
    let body: AnswerBody = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(body.padding.len(), 3);
}

/// Sends `count` concurrent requests, each on its own connection, and returns their sorted results.
async fn burst(backend: &Backend, count: usize) -> Vec<String> {
    let mut tasks = Vec::new();
    for index in 0..count {
        let mut sender = connect(backend).await;
        tasks.push(tokio::spawn(async move {
            describe(&send(&mut sender, request("/", &format!("b{index}"))).await)
        }));
    }
    let mut seen = Vec::new();
    for task in tasks {
        seen.push(task.await.unwrap());
    }
    seen.sort();
    seen
}

#[tokio::test]
async fn requests_beyond_the_slots_are_refused() {
    let backend = Backend::start(config().with_slots(2).with_work(WORK))
        .await
        .unwrap();
    assert_eq!(
        burst(&backend, 3).await,
        ["200 whole", "200 whole", "503 not run"]
    );
    assert_eq!(backend.max_concurrent(), 3);
    let refused = backend
        .records()
        .iter()
        .filter(|entry| !entry.end.ran())
        .count();
    assert_eq!(refused, 1);
}

#[tokio::test]
async fn requests_beyond_the_cold_limit_fail() {
    let cold = Duration::from_secs(60);
    let config = config().with_work(WORK).with_cold_start(cold, 1);
    let backend = Backend::start(config).await.unwrap();
    assert_eq!(burst(&backend, 2).await, ["200 whole", "500 whole"]);
    assert_eq!(backend.max_cold(), 2);
    assert!(backend.records().iter().all(|entry| entry.cold));
    let ends: Vec<_> = backend.records().iter().map(|entry| entry.end).collect();
    assert!(ends.contains(&End::FellOver));
}

#[tokio::test]
async fn the_cold_limit_applies_until_the_cold_time_ends() {
    let cold = Duration::from_secs(1);
    let config = config().with_work(WORK).with_cold_start(cold, 1);
    let backend = Backend::start(config).await.unwrap();
    tokio::time::sleep(cold).await;
    assert_eq!(burst(&backend, 2).await, ["200 whole", "200 whole"]);
    backend.set_fault(Fault::TurnCold);
    assert_eq!(burst(&backend, 2).await, ["200 whole", "500 whole"]);
    tokio::time::sleep(cold).await;
    assert_eq!(burst(&backend, 2).await, ["200 whole", "200 whole"]);
}

#[tokio::test]
async fn a_closed_connection_cancels_the_work() {
    let backend = Backend::start(config().with_work(Duration::from_secs(60)))
        .await
        .unwrap();
    let mut sender = connect(&backend).await;
    let task = tokio::spawn(async move { send(&mut sender, request("/", "c1")).await });
    wait_until(|| backend.running() == 1).await;
    task.abort();
    wait_until(|| backend.records()[0].end == End::Cancelled).await;
    assert_eq!(backend.running(), 0);
}

#[tokio::test]
async fn a_deadline_stops_the_work() {
    let backend = Backend::start(config().with_work(Duration::from_secs(60)))
        .await
        .unwrap();
    let mut request = request("/", "d1");
    request.headers_mut().insert(headers::DEADLINE, 20.into());
    let seen = send(&mut connect(&backend).await, request).await;
    assert_eq!(describe(&seen), "504 whole");
    assert_eq!(backend.records()[0].end, End::Expired);
}

#[tokio::test]
async fn connections_over_the_limit_are_closed() {
    let backend = Backend::start(config().with_connections(1)).await.unwrap();
    let mut first = connect(&backend).await;
    assert_eq!(
        describe(&send(&mut first, request("/", "e1")).await),
        "200 whole"
    );
    let mut second = connect(&backend).await;
    assert_eq!(
        describe(&send(&mut second, request("/", "e2")).await),
        "broken"
    );
    assert_eq!(
        (backend.connections(), backend.refused_connections()),
        (1, 1)
    );
}

async fn load(backend: &Backend) -> LoadReport {
    match send(&mut connect(backend).await, request("/-/load", "")).await {
        Observed::Whole(_, bytes, _) => serde_json::from_slice(&bytes).unwrap(),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn the_load_endpoint_reports_busy_slots_unless_it_lies() {
    for (fault, busy) in [(Fault::None, 1), (Fault::LyingLoad, 0)] {
        let config = config().with_work(Duration::from_secs(60));
        let backend = Backend::start(config).await.unwrap();
        backend.set_fault(fault);
        let mut worker = connect(&backend).await;
        tokio::spawn(async move { send(&mut worker, request("/", "f1")).await });
        wait_until(|| backend.running() == 1).await;
        let deadline = uptime() + CONDITION_TIMEOUT;
        let report = loop {
            let report = load(&backend).await;
            if report.busy == busy || uptime() > deadline {
                break report;
            }
        };
        assert_eq!(report, LoadReport { busy, slots: 5 }, "{fault:?}");
    }
}
