//! Hedged SYNs on the way from a balancer to backend servers.

use std::time::Duration;

use buckthornweir_forward::backend::ReportState;
use buckthornweir_node::ReportOutcome;

use crate::support::{Caller, OVERLOAD_VERSION, TestNet, order, report, submit, wait_until};

/// How long a response may take that is expected, or must not come before a SYN is repeated.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which an unanswered SYN would have been hedged: the delay and a margin for busy machines.
const HEDGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until the slots of flows that carry no request are free again, and the balancer knows it.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends one SYN to the backend server 21, which has ended, and returns the number of the backend
/// server that answered it.
async fn respondent(net: TestNet, second_tries: f64, limit: Duration) -> Option<u32> {
    let data = tempfile::tempdir().expect("test setup failed");
    let mut control = Vec::new();
    for host in 1..=3 {
        control.push(net.control(host, data.path(), true).await);
    }
    let balancer = net.hedging_balancer(11, second_tries).await;
    let servers = [net.backend(21), net.backend(22)];
    let agents = [net.agent(21).await, net.agent(22).await];
    submit(&control.iter().collect::<Vec<_>>(), order(OVERLOAD_VERSION)).await;
    for agent in &agents {
        assert_eq!(
            agent.handle.report(report(1, ReportState::Ready)).await,
            ReportOutcome::Taken
        );
    }
    wait_until("ready balancer", || balancer.handle.is_ready()).await;
    let caller = net.caller(31).await;
    // The balancer sends a first SYN to the agent of its own failure domain, and a second one to
    // the other, as soon as it knows that both accept flows. The first SYNs come last, since the
    // limit is a share of those in the latest 10 s.
    let mut ports = 1..10_000;
    for (retransmissions, host) in [(1, 22), (0, 21)] {
        let mut opened = 0;
        while opened < 10 {
            let port = ports
                .next()
                .expect("the balancer knows both agents in time");
            opened += u32::from(answers(&caller, net, port, retransmissions).await == Some(host));
        }
    }
    tokio::time::sleep(OFFER_TIMEOUT).await;
    servers[0].abort();
    let port = ports.next().expect("test setup failed");
    let answer = caller.send_syn_once(net.ip(11), port, 0, limit).await;
    answer.map(|segment| segment.sequence >> 16)
}

/// Opens a flow and sends a request on it, so that its SYN needs no hedging. Returns the number of
/// the backend server.
async fn answers(caller: &Caller, net: TestNet, port: u16, retransmissions: u32) -> Option<u32> {
    let balancer = net.ip(11);
    let opened = caller.send_syn_once(balancer, port, retransmissions, RESPONSE_TIMEOUT);
    let opened = opened.await.filter(|segment| !segment.rst)?;
    caller.request(balancer, port, &opened).await;
    Some(opened.sequence >> 16)
}

#[tokio::test]
async fn hedged_syn_opens_the_flow_at_another_backend_server() {
    assert_eq!(
        respondent(TestNet::claim(), 0.2, RESPONSE_TIMEOUT).await,
        Some(22)
    );
}

/// Guards against hedged SYNs that nobody enabled.
#[tokio::test]
async fn nothing_is_hedged_without_a_limit() {
    assert_eq!(respondent(TestNet::claim(), 0.0, HEDGE_TIMEOUT).await, None);
}
