//! Offers of quiet flows between agents that are lost, duplicated, delayed or rejected.

#![allow(clippy::unwrap_used, reason = "a helper of a test may panic")]

mod common;

use std::time::Duration;

use buckthornweir_flows::messages::{FlowBody, MovedFlow, Offer, Taken};
use buckthornweir_flows::moving::MAX_BATCH_FLOWS;
use buckthornweir_flows::prelude::*;
use common::mesh::*;
use common::*;

fn quiet(tuple: &FiveTuple) -> QuietFlow {
    QuietFlow {
        tuple: *tuple,
        sent: 1,
        received: 1,
        window: 4_096,
        segment: None,
        scale: None,
        sack: false,
        receive: 4_096,
    }
}

/// A mesh in which the draining agent 1 has a flow that is to move to agent 2.
struct MoveCase {
    mesh: Mesh,
    source: MoveSource,
    tuple: FiveTuple,
}

impl MoveCase {
    fn new() -> Self {
        let members = || {
            vec![
                member(1, MemberState::Draining),
                member(2, MemberState::Ready),
            ]
        };
        let mut mesh = Mesh::new(&[1, 2, 3]);
        let tuple = tuple(40_000);
        mesh.establish(1, &tuple);
        mesh.update_views(|old| *old = view(old.node, members()));
        mesh.agent(3).view = view(
            3,
            [members(), vec![member(3, MemberState::Draining)]].concat(),
        );
        let source = MoveSource::new(1, 1);
        Self {
            mesh,
            source,
            tuple,
        }
    }

    /// Starts the move of the flow, and returns the offer.
    fn offer(&mut self) -> Offer {
        let agent = &self.mesh.agents[&1];
        assert!(agent.ownership.begin_move(&self.tuple));
        let mut out = Vec::new();
        let flows = vec![quiet(&self.tuple)];
        self.source.offer(
            &agent.ownership,
            &agent.view,
            flows,
            self.mesh.now,
            &mut out,
        );
        offer_of(&out)
    }

    fn send(&mut self, offer: &Offer) -> Vec<Taken> {
        self.mesh.send(2, FlowBody::Offer(offer.clone()));
        std::mem::take(&mut self.mesh.taken)
    }

    fn answer(&mut self, taken: &Taken) -> Vec<MoveAction> {
        let mut out = Vec::new();
        let agent = &self.mesh.agents[&1];
        self.source
            .taken(&agent.ownership, taken, self.mesh.now, &mut out);
        out
    }

    fn tick(&mut self, after: Duration) -> Vec<MoveAction> {
        self.mesh.now += after;
        let mut out = Vec::new();
        let agent = &self.mesh.agents[&1];
        self.source
            .tick(&agent.ownership, &agent.view, self.mesh.now, &mut out);
        out
    }

    /// Returns which of the agents 1 and 2 own the flow.
    fn owners(&self) -> [bool; 2] {
        [1, 2].map(|node| self.mesh.agents[&node].ownership.owns(&self.tuple))
    }

    fn packet(&mut self, node: NodeId) -> String {
        self.mesh.packet(node, &data(&self.tuple, 1, b"x"))
    }
}

fn offer_of(actions: &[MoveAction]) -> Offer {
    match actions {
        [
            MoveAction::Send {
                to: 2,
                body: FlowBody::Offer(offer),
            },
        ] => offer.clone(),
        other => panic!("no offer to agent 2: {other:?}"),
    }
}

#[test]
fn packets_reach_a_flow_before_during_and_after_its_move() {
    let mut case = MoveCase::new();
    assert_eq!(case.packet(3), "3:hold hint:1 1:deliver");
    let offer = case.offer();
    // During the move, neither agent delivers or resets. A few packets are held by both.
    let during: Vec<_> = (0..4).map(|_| case.packet(1)).collect();
    assert_eq!(during, ["1:hold", "1:hold", "1:hold", "1:NotOwner"]);
    assert_eq!(case.packet(2), "2:hold");
    assert_eq!(case.mesh.advance(Duration::from_secs(2)), "");
    assert_eq!(case.mesh.send(2, FlowBody::Offer(offer)), "held");
    let taken = std::mem::take(&mut case.mesh.taken);
    assert_eq!(case.mesh.adopted, [quiet(&case.tuple)]);
    assert_eq!(case.packet(1), "1:NotOwner");
    assert_eq!(case.packet(2), "2:deliver");
    let passed = case.answer(&taken[0]);
    case.mesh.run_moves(passed);
    assert_eq!(
        case.mesh.advance(Duration::from_millis(10)),
        "2:deliver 2:deliver 2:deliver"
    );
    assert_eq!(case.owners(), [false, true]);
    assert!(case.source.is_done());
    // Agent 3 has cached agent 1 as the owner, which passes the packet on and corrects agent 3.
    assert_eq!(case.packet(3), "2:deliver");
    assert_eq!(case.mesh.hops, 3);
    assert_eq!(case.packet(3), "hint:2 2:deliver");
    assert_eq!(case.mesh.hops, 2);
    assert_eq!(case.packet(1), "2:deliver");
    // The source leaves.
    case.mesh.agent(1).is_partitioned = true;
    let left = || {
        vec![
            member(2, MemberState::Ready),
            member(3, MemberState::Draining),
        ]
    };
    case.mesh.agent(3).view = view(3, left());
    let fresh = agent(view(3, left()));
    *case.mesh.agent(3) = fresh;
    assert_eq!(case.packet(3), "3:hold hint:2 2:deliver");
}

#[test]
fn query_during_a_move_is_answered_by_the_source() {
    let mut case = MoveCase::new();
    let offer = case.offer();
    // Agent 3 has already received the denial of agent 2 when the flow moves there.
    assert_eq!(case.packet(3), "3:hold");
    let taken = case.send(&offer);
    case.answer(&taken[0]);
    assert_eq!(
        case.mesh.advance(Duration::from_secs(2)),
        "hint:2 2:deliver"
    );
}

#[test]
fn lost_duplicated_and_delayed_offers_start_a_flow_once() {
    let mut case = MoveCase::new();
    let offer = case.offer();
    // The first copy of the offer is lost, then the answer to the second one. Then both are
    // duplicated.
    let repeated = offer_of(&case.tick(Duration::from_millis(50)));
    assert_eq!(repeated, offer);
    case.send(&repeated);
    let third = offer_of(&case.tick(Duration::from_secs(1)));
    let taken = [case.send(&third), case.send(&offer)];
    assert_eq!(taken[0], taken[1]);
    assert_eq!(case.mesh.adopted.len(), 1);
    assert_eq!(case.answer(&taken[0][0]), []);
    assert_eq!(case.answer(&taken[1][0]), []);
    assert_eq!(case.owners(), [false, true]);
    assert_eq!(case.tick(Duration::from_secs(9)), []);
    // The flow ends at the target. The floor of the next offer marks the first one as settled, so a
    // delayed copy starts no flow.
    case.mesh.agent(2).ownership.remove_flow(&case.tuple);
    case.tuple = tuple(40_001);
    case.mesh.agent(1).ownership.adopt(&case.tuple);
    let next = case.offer();
    assert_eq!((next.number, next.floor), (2, 2));
    case.send(&next);
    assert_eq!(case.send(&offer), []);
    assert_eq!(case.mesh.adopted.len(), 2);
}

#[test]
fn flows_without_a_new_owner_resume_at_the_source() {
    type Refuse = fn(&mut MoveCase);
    let table: [Refuse; 4] = [
        |case| case.mesh.agent(2).view.state = MemberState::Draining,
        |case| case.mesh.agent(2).view.is_out = true,
        |case| case.mesh.agent(2).view.service.name = "sheets".into(),
        |case| {
            let limits = OwnerLimits::default().with_flows(0);
            case.mesh.agent(2).ownership = Ownership::new(2, KEY, 1, limits);
        },
    ];
    for refuse in table {
        let mut case = MoveCase::new();
        refuse(&mut case);
        let offer = case.offer();
        assert_eq!(case.packet(1), "1:hold");
        let taken = case.send(&offer);
        let kept = MoveAction::Resume(quiet(&case.tuple));
        let held = MoveAction::Deliver {
            tuple: case.tuple,
            packet: data(&case.tuple, 1, b"x"),
        };
        assert_eq!(case.answer(&taken[0]), [kept, held]);
        assert_eq!(case.owners(), [true, false]);
        assert_eq!(case.packet(1), "1:deliver");
    }
    // In the source's view, the source isn't draining yet.
    let mut case = MoveCase::new();
    case.mesh.agent(1).view = view(1, ready_members(&[1, 2]));
    let placement = case.mesh.agent(1).view.service.placement();
    let own = (1..)
        .map(tuple)
        .find(|tuple| placement.owner(tuple) == Some(1));
    case.tuple = own.unwrap();
    case.mesh.agent(1).ownership.adopt(&case.tuple);
    case.offer();
    // No other agent accepts new flows.
    let mut case = MoveCase::new();
    let agent = case.mesh.agent(1);
    agent.view = view(1, vec![member(1, MemberState::Draining)]);
    agent.ownership.begin_move(&case.tuple);
    let (mut out, flows) = (Vec::new(), vec![quiet(&case.tuple)]);
    let agent = &case.mesh.agents[&1];
    case.source.offer(
        &agent.ownership,
        &agent.view,
        flows,
        case.mesh.now,
        &mut out,
    );
    assert_eq!(out, [MoveAction::Resume(quiet(&case.tuple))]);
}

#[test]
fn target_failure_during_a_move_never_creates_two_owners() {
    // The target restarts without state and accepts the repeated offer again.
    let mut case = MoveCase::new();
    let offer = case.offer();
    case.send(&offer);
    let view = case.mesh.agent(2).view.clone();
    *case.mesh.agent(2) = agent(view);
    let repeated = offer_of(&case.tick(Duration::from_secs(1)));
    let taken = case.send(&repeated);
    case.answer(&taken[0]);
    assert_eq!(case.owners(), [false, true]);
    // The target has left for good. It may have started the flow, so the source doesn't resume it.
    let mut case = MoveCase::new();
    case.offer();
    case.mesh.agent(2).is_partitioned = true;
    let remaining = vec![
        member(1, MemberState::Draining),
        member(3, MemberState::Draining),
    ];
    case.mesh.agent(1).view = mesh::view(1, remaining.clone());
    assert_eq!(
        case.tick(Duration::from_secs(1)),
        [MoveAction::Forget(case.tuple)]
    );
    assert_eq!(case.owners(), [false, false]);
    case.mesh.agent(3).view = mesh::view(3, remaining);
    assert_eq!(case.packet(3), "3:hold 3:reset");
}

#[test]
fn offers_and_answers_of_an_earlier_incarnation_are_ignored() {
    let mut case = MoveCase::new();
    let old = case.offer();
    case.source = MoveSource::new(1, 2);
    case.mesh.agent(1).ownership = Ownership::new(1, KEY, 2, OwnerLimits::default());
    case.mesh.agent(1).ownership.adopt(&case.tuple);
    let new = case.offer();
    let taken = case.send(&new);
    case.mesh.agent(2).ownership.remove_flow(&case.tuple);
    assert_eq!(case.send(&old), []);
    assert_eq!(case.mesh.adopted.len(), 1);
    let stale = Taken {
        incarnation: 1,
        ..taken[0].clone()
    };
    case.answer(&stale);
    assert!(!case.source.is_done());
}

#[test]
fn flow_that_is_never_quiet_stays_until_it_is_aborted() {
    let mut case = MoveCase::new();
    let agent = case.mesh.agent(1);
    assert!(agent.ownership.begin_move(&case.tuple));
    assert_eq!(case.packet(1), "1:hold");
    let ownership = &case.mesh.agents[&1].ownership;
    let held = ownership.take_held(&case.tuple);
    assert_eq!(held, [forward(&data(&case.tuple, 1, b"x"))]);
    ownership.cancel_move(&case.tuple);
    assert_eq!(case.packet(1), "1:deliver");
    let mut out = Vec::new();
    case.mesh.agent(1).ownership.abort_all(&mut out);
    assert_eq!(out, [Action::Abort(case.tuple)]);
}

#[test]
fn invalid_offers_are_rejected() {
    let case = MoveCase::new();
    let valid = MovedFlow::from(&quiet(&case.tuple));
    type Change = fn(&mut MovedFlow);
    let table: [(Change, &str); 6] = [
        (|flow| flow.flow = None, "message has no flow"),
        (|flow| flow.receive = 0, "receive buffer is out of range"),
        (
            |flow| flow.receive = u32::MAX,
            "receive buffer is out of range",
        ),
        (|flow| flow.window = 1 << 16, "window is out of range"),
        (|flow| flow.scale = Some(15), "window scale is out of range"),
        (
            |flow| flow.segment = Some(1 << 16),
            "segment is out of range",
        ),
    ];
    for (change, expected) in table {
        let mut flow = valid.clone();
        change(&mut flow);
        assert_eq!(
            QuietFlow::try_from(&flow).unwrap_err().to_string(),
            expected
        );
    }
    let agent = &case.mesh.agents[&2];
    let offer = Offer {
        flows: vec![valid; MAX_BATCH_FLOWS + 1],
        ..Offer::default()
    };
    let outcome = MoveTarget::new(2).offer(&agent.ownership, &agent.view, &offer, &mut Vec::new());
    assert_eq!(
        outcome.unwrap_err().to_string(),
        "number of flows is out of range"
    );
}
