//! The ranked agents of a new flow, compared with the decisions of balancers and agents.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornweir_flows::balancer::HintLimits;
use buckthornweir_flows::messages::FlowBody;
use buckthornweir_flows::prelude::*;
use common::mesh::*;
use common::*;
use expect_test::expect;

const NOW: Duration = Duration::from_secs(1);

/// Returns a service with agents of each state, weights from 0 to 16, and one failure domain out.
fn mixed_service() -> ServiceView {
    let mut members = ready_members(&[1, 2, 4, 5, 7, 8]);
    members[1].state = MemberState::Cold;
    members[1].weight = 4;
    members[2].weight = 0;
    members[3].state = MemberState::Draining;
    members.extend(ready_members(&[3, 6]));
    let out = BTreeSet::from(["domain-0".into()]);
    let addresses = vec![tuple(1).service];
    ServiceView::new("orders".into(), addresses, members, &out, KEY)
}

fn accepting(ranked: &[RankedMember<'_>]) -> Vec<NodeId> {
    let accepting = ranked.iter().filter(|r| r.verdict.accepts_flows());
    accepting.map(|r| r.member.node).collect()
}

/// Guards against explanations that name another agent than the one that gets the flow.
#[test]
fn first_ranked_agent_is_the_one_that_balancers_choose() {
    let view = BalancerView::new(1, vec![mixed_service()]);
    let balancer = Balancer::new(KEY, &HintLimits::default());
    for tuple in (1..500).map(tuple) {
        let ranked = view.service(tuple.service).unwrap().ranked(&tuple);
        let first = &ranked[0];
        let route = balancer.route(&view, &info(&syn(&tuple, 0)), NOW);
        assert_eq!(first.verdict, Verdict::Chosen);
        assert!(matches!(route, Route::Forward { node, .. } if node == first.member.node));
    }
}

/// Guards against explanations that name another agent than the one to which an agent passes on
/// a flow that it doesn't accept.
#[test]
fn second_ranked_agent_is_the_one_that_a_refusing_agent_chooses() {
    let service = mixed_service();
    for tuple in (1..500).map(tuple) {
        let order = accepting(&service.ranked(&tuple));
        let next = service.next_owner(&tuple, order[0]);
        assert_eq!(next.map(|member| member.node), Some(order[1]));
        let mut refusing = view(order[0], Vec::new());
        refusing.service = service.clone();
        refusing.state = MemberState::Draining;
        let agent = agent(refusing);
        let packet = syn(&tuple, 0);
        let mut actions = Vec::new();
        agent.ownership.packet(
            &agent.view,
            &forward(&packet),
            &info(&packet),
            NOW,
            &mut actions,
        );
        let passed_on = |action: &Action| match action {
            Action::Send {
                to,
                body: FlowBody::Forward(_),
            } => Some(*to),
            _ => None,
        };
        assert_eq!(actions.iter().find_map(passed_on), Some(order[1]));
    }
}

#[test]
fn agents_that_get_no_flows_are_ranked_last_with_their_reason() {
    let service = mixed_service();
    let ranked = service.ranked(&tuple(40_000));
    let line = |r: &RankedMember<'_>| format!("{} {:.3} {:?}\n", r.member.node, r.share, r.verdict);
    let text: String = ranked.iter().map(line).collect();
    expect![[r#"
        8 0.310 Chosen
        2 0.075 RankedLower
        1 0.308 RankedLower
        7 0.308 RankedLower
        5 0.000 Draining
        4 0.000 NoWeight
        3 0.000 DomainOut
        6 0.000 DomainOut
    "#]]
    .assert_eq(&text);
    let total: f64 = ranked.iter().map(|r| r.share).sum();
    assert!((total - 1.0).abs() < 1e-9, "{total}");
    let none = mesh::service("orders", vec![member(1, MemberState::Draining)]);
    assert!(none.new_owner(&tuple(1)).is_none());
    assert_eq!(none.ranked(&tuple(1))[0].verdict, Verdict::Draining);
}
