//! The outcomes that HTTP callers on the fabric report for complete and broken answers.

use std::fmt::Write;
use std::time::Duration;

use crate::peer::{self, Behavior};
use buckthornweir_standins::{CallerError, Fabric, FabricConfig, HttpCaller, Outcome};
use expect_test::expect;
use http::Request;

const OWN_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n\
    {\"service\":\"orders\",\"backend\":\"o1\",\"request_id\":\"a1\",\"path\":\"/\",\"padding\":\"\"}";
const SHORT_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n{\"service\"";
const STRANGE_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
const NOT_RUN_HEADER: &str = "HTTP/1.1 503 Busy\r\nx-not-run: yes\r\ncontent-length: 0\r\n\r\n";
const NOT_RUN_PROBLEM: &str = "HTTP/1.1 503 Busy\r\ncontent-type: application/problem+json\r\n\
    content-length: 19\r\n\r\n{\"title\":\"not run\"}";
const BAD_GATEWAY: &str = "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n";

async fn outcome(behavior: Behavior) -> Outcome {
    let peer = peer::start(behavior, 2).await;
    let config = FabricConfig::new("127.0.0.1:0".parse().unwrap(), 3)
        .with_balancers(peer.addrs.clone())
        .with_connect_timeout(Duration::from_millis(200));
    let fabric = Fabric::start(config).await.unwrap();
    let result = match HttpCaller::connect(&fabric, "10.100.0.1:80".parse().unwrap()).await {
        Ok(mut caller) => {
            let request = Request::get("/").body(Default::default()).unwrap();
            caller.send(request).await
        }
        Err(error) => {
            assert!(matches!(error, CallerError::Connect(_)));
            Err(error)
        }
    };
    Outcome::of(&result)
}

#[tokio::test]
async fn each_answer_maps_to_its_outcome() {
    let cases = [
        ("own", Behavior::Send(OWN_ANSWER)),
        ("short", Behavior::Send(SHORT_ANSWER)),
        ("strange", Behavior::Send(STRANGE_ANSWER)),
        ("refused by header", Behavior::Send(NOT_RUN_HEADER)),
        (
            "refused by problem document",
            Behavior::Send(NOT_RUN_PROBLEM),
        ),
        ("gateway", Behavior::Send(BAD_GATEWAY)),
        ("reset", Behavior::Reset),
        ("unresponsive", Behavior::Unresponsive),
    ];
    let mut table = String::new();
    for (case, behavior) in cases {
        writeln!(table, "{case}: {:?}", outcome(behavior).await).unwrap();
    }
    expect![[r#"
        own: Answered { service: "orders", request_id: "a1" }
        short: Short
        strange: Strange(200)
        refused by header: NotRun
        refused by problem document: NotRun
        gateway: Unknown(502)
        reset: Broken
        unresponsive: Broken
    "#]]
    .assert_eq(&table);
}

#[tokio::test]
async fn a_close_between_requests_does_not_mark_the_connection_broken() {
    for (behavior, broken) in [
        (Behavior::Send(STRANGE_ANSWER), false),
        (Behavior::Send(SHORT_ANSWER), true),
    ] {
        let peer = peer::start(behavior, 1).await;
        let config = FabricConfig::new("127.0.0.1:0".parse().unwrap(), 3);
        let fabric = Fabric::start(config.with_balancers(peer.addrs.clone()))
            .await
            .unwrap();
        let service = "10.100.0.1:80".parse().unwrap();
        let mut caller = HttpCaller::connect(&fabric, service).await.unwrap();
        let request = || Request::get("/").body(Default::default()).unwrap();
        assert_eq!(caller.send(request()).await.is_err(), broken);
        let again = caller.send(request()).await.unwrap_err();
        assert!(matches!(again, CallerError::Unsent(_)), "{again}");
        assert_eq!(caller.is_broken(), broken);
    }
}
