//! Offers of quiet flows between agents: lost, doubled, late, refused.

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

/// A mesh whose agent 1 drains and has a flow to hand over, which agent 2 is to take.
struct Case {
    mesh: Mesh,
    giver: MoveSource,
    tuple: FiveTuple,
}

impl Case {
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
        mesh.views(|old| *old = view(old.node, members()));
        mesh.agent(3).view = view(
            3,
            [members(), vec![member(3, MemberState::Draining)]].concat(),
        );
        let giver = MoveSource::new(1, 1);
        Self { mesh, giver, tuple }
    }

    /// Stops the flow and returns the offer.
    fn offer(&mut self) -> Offer {
        let agent = &self.mesh.agents[&1];
        assert!(agent.owner.begin_move(&self.tuple));
        let mut out = Vec::new();
        let flows = vec![quiet(&self.tuple)];
        self.giver
            .offer(&agent.owner, &agent.view, flows, self.mesh.now, &mut out);
        offer_of(&out)
    }

    fn send(&mut self, offer: &Offer) -> Vec<Taken> {
        self.mesh.body(2, FlowBody::Offer(offer.clone()));
        std::mem::take(&mut self.mesh.taken)
    }

    fn answer(&mut self, taken: &Taken) -> Vec<MoveAction> {
        let mut out = Vec::new();
        let agent = &self.mesh.agents[&1];
        self.giver
            .taken(&agent.owner, taken, self.mesh.now, &mut out);
        out
    }

    fn tick(&mut self, after: Duration) -> Vec<MoveAction> {
        self.mesh.now += after;
        let mut out = Vec::new();
        let agent = &self.mesh.agents[&1];
        self.giver
            .tick(&agent.owner, &agent.view, self.mesh.now, &mut out);
        out
    }

    /// Returns which of the agents 1 and 2 own the flow.
    fn owners(&self) -> [bool; 2] {
        [1, 2].map(|node| self.mesh.agents[&node].owner.owns(&self.tuple))
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
fn packets_find_a_flow_before_during_and_after_its_move() {
    let mut case = Case::new();
    assert_eq!(case.packet(3), "3:hold hint:1 1:deliver");
    let offer = case.offer();
    // In the middle nobody delivers, and nobody resets. A few packets are held at both ends.
    let middle: Vec<_> = (0..4).map(|_| case.packet(1)).collect();
    assert_eq!(middle, ["1:hold", "1:hold", "1:hold", "1:NotOwner"]);
    assert_eq!(case.packet(2), "2:hold");
    assert_eq!(case.mesh.wait(Duration::from_secs(2)), "");
    assert_eq!(case.mesh.body(2, FlowBody::Offer(offer)), "held");
    let taken = std::mem::take(&mut case.mesh.taken);
    assert_eq!(case.mesh.adopted, [quiet(&case.tuple)]);
    assert_eq!(case.packet(1), "1:NotOwner");
    assert_eq!(case.packet(2), "2:deliver");
    let passed = case.answer(&taken[0]);
    case.mesh.moves(passed);
    assert_eq!(
        case.mesh.wait(Duration::from_millis(10)),
        "2:deliver 2:deliver 2:deliver"
    );
    assert_eq!(case.owners(), [false, true]);
    assert!(case.giver.is_done());
    // Agent 3 still remembers agent 1, which passes the packet on and corrects agent 3.
    assert_eq!(case.packet(3), "2:deliver");
    assert_eq!(case.mesh.hops, 3);
    assert_eq!(case.packet(3), "hint:2 2:deliver");
    assert_eq!(case.mesh.hops, 2);
    assert_eq!(case.packet(1), "2:deliver");
    // The giver leaves.
    case.mesh.agent(1).is_cut = true;
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
fn question_that_crosses_a_move_is_answered_by_the_giver() {
    let mut case = Case::new();
    let offer = case.offer();
    // Agent 3 has the denial of agent 2 when the flow moves there.
    assert_eq!(case.packet(3), "3:hold");
    let taken = case.send(&offer);
    case.answer(&taken[0]);
    assert_eq!(case.mesh.wait(Duration::from_secs(2)), "hint:2 2:deliver");
}

#[test]
fn lost_doubled_and_late_offers_start_a_flow_once() {
    let mut case = Case::new();
    let offer = case.offer();
    // The offer is lost, then its answer, then both come twice.
    let again = offer_of(&case.tick(Duration::from_millis(50)));
    assert_eq!(again, offer);
    case.send(&again);
    let third = offer_of(&case.tick(Duration::from_secs(1)));
    let taken = [case.send(&third), case.send(&offer)];
    assert_eq!(taken[0], taken[1]);
    assert_eq!(case.mesh.adopted.len(), 1);
    assert_eq!(case.answer(&taken[0][0]), []);
    assert_eq!(case.answer(&taken[1][0]), []);
    assert_eq!(case.owners(), [false, true]);
    assert_eq!(case.tick(Duration::from_secs(9)), []);
    // The flow ends at the taker. The next offer tells that the first one is settled, so a copy that
    // comes late starts nothing.
    case.mesh.agent(2).owner.remove_flow(&case.tuple);
    case.tuple = tuple(40_001);
    case.mesh.agent(1).owner.adopt(&case.tuple);
    let next = case.offer();
    assert_eq!((next.number, next.floor), (2, 2));
    case.send(&next);
    assert_eq!(case.send(&offer), []);
    assert_eq!(case.mesh.adopted.len(), 2);
}

#[test]
fn flows_that_nobody_takes_go_on_at_the_giver() {
    type Refuse = fn(&mut Case);
    let table: [Refuse; 4] = [
        |case| case.mesh.agent(2).view.state = MemberState::Draining,
        |case| case.mesh.agent(2).view.is_out = true,
        |case| case.mesh.agent(2).view.service.name = "sheets".into(),
        |case| {
            let limits = OwnerLimits::default().with_flows(0);
            case.mesh.agent(2).owner = Ownership::new(2, KEY, 1, limits);
        },
    ];
    for refuse in table {
        let mut case = Case::new();
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
    // The giver's own record doesn't say yet that it drains.
    let mut case = Case::new();
    case.mesh.agent(1).view = view(1, ready(&[1, 2]));
    let placement = case.mesh.agent(1).view.service.placement();
    let own = (1..)
        .map(tuple)
        .find(|tuple| placement.owner(tuple) == Some(1));
    case.tuple = own.unwrap();
    case.mesh.agent(1).owner.adopt(&case.tuple);
    case.offer();
    // Nobody to offer it to.
    let mut case = Case::new();
    let agent = case.mesh.agent(1);
    agent.view = view(1, vec![member(1, MemberState::Draining)]);
    agent.owner.begin_move(&case.tuple);
    let (mut out, flows) = (Vec::new(), vec![quiet(&case.tuple)]);
    let agent = &case.mesh.agents[&1];
    case.giver
        .offer(&agent.owner, &agent.view, flows, case.mesh.now, &mut out);
    assert_eq!(out, [MoveAction::Resume(quiet(&case.tuple))]);
}

#[test]
fn taker_that_dies_half_way_never_makes_two_owners() {
    // It restarts with nothing and takes the repeated offer anew.
    let mut case = Case::new();
    let offer = case.offer();
    case.send(&offer);
    let view = case.mesh.agent(2).view.clone();
    *case.mesh.agent(2) = agent(view);
    let again = offer_of(&case.tick(Duration::from_secs(1)));
    let taken = case.send(&again);
    case.answer(&taken[0]);
    assert_eq!(case.owners(), [false, true]);
    // It is gone for good: whether it had started the flow is unknown, so the giver doesn't.
    let mut case = Case::new();
    case.offer();
    case.mesh.agent(2).is_cut = true;
    let alone = vec![
        member(1, MemberState::Draining),
        member(3, MemberState::Draining),
    ];
    case.mesh.agent(1).view = mesh::view(1, alone.clone());
    assert_eq!(
        case.tick(Duration::from_secs(1)),
        [MoveAction::Forget(case.tuple)]
    );
    assert_eq!(case.owners(), [false, false]);
    case.mesh.agent(3).view = mesh::view(3, alone);
    assert_eq!(case.packet(3), "3:hold 3:reset");
}

#[test]
fn giver_that_restarts_does_not_repeat_old_offers() {
    let mut case = Case::new();
    let old = case.offer();
    case.giver = MoveSource::new(1, 2);
    case.mesh.agent(1).owner = Ownership::new(1, KEY, 2, OwnerLimits::default());
    case.mesh.agent(1).owner.adopt(&case.tuple);
    let new = case.offer();
    let taken = case.send(&new);
    case.mesh.agent(2).owner.remove_flow(&case.tuple);
    assert_eq!(case.send(&old), []);
    assert_eq!(case.mesh.adopted.len(), 1);
    let stale = Taken {
        incarnation: 1,
        ..taken[0].clone()
    };
    case.answer(&stale);
    assert!(!case.giver.is_done());
}

#[test]
fn flow_that_never_becomes_quiet_stays_until_the_time_limit() {
    let mut case = Case::new();
    let agent = case.mesh.agent(1);
    assert!(agent.owner.begin_move(&case.tuple));
    assert_eq!(case.packet(1), "1:hold");
    let owner = &case.mesh.agents[&1].owner;
    let held = owner.take_held(&case.tuple);
    assert_eq!(held, [forward(&data(&case.tuple, 1, b"x"))]);
    owner.cancel_move(&case.tuple);
    assert_eq!(case.packet(1), "1:deliver");
    let mut out = Vec::new();
    case.mesh.agent(1).owner.abort_all(&mut out);
    assert_eq!(out, [Action::Abort(case.tuple)]);
}

#[test]
fn bad_offers_are_refused() {
    let case = Case::new();
    let good = MovedFlow::from(&quiet(&case.tuple));
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
        let mut flow = good.clone();
        change(&mut flow);
        assert_eq!(
            QuietFlow::try_from(&flow).unwrap_err().to_string(),
            expected
        );
    }
    let agent = &case.mesh.agents[&2];
    let offer = Offer {
        flows: vec![good; MAX_BATCH_FLOWS + 1],
        ..Offer::default()
    };
    let outcome = MoveTarget::new(2).offer(&agent.owner, &agent.view, &offer, &mut Vec::new());
    assert_eq!(
        outcome.unwrap_err().to_string(),
        "number of flows is out of range"
    );
}
