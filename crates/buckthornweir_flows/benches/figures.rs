//! Measures other than times: share of moved flows, hops, memory per flow, balance of new flows.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use buckthornweir_flows::messages::{FlowBody, MovedFlow};
use buckthornweir_flows::placement::BUCKETS;
use buckthornweir_flows::prelude::*;
use common::{KEY, candidates, forward, packet, service, tuple, view};
use prost::Message;

const NOW: Duration = Duration::from_secs(1);

/// Number of flows per measurement.
const FLOWS: u32 = 100_000;

fn main() {
    println!("buckets {BUCKETS}");
    flow_bytes();
    moved_share();
    spread();
    hops();
}

/// Prints the share of flows whose owner changes when one member joins.
fn moved_share() {
    for members in [3, 7, 300u64] {
        let before = Placement::new(KEY, &candidates(1..=members));
        let after = Placement::new(KEY, &candidates(1..=members + 1));
        let moved = (0..FLOWS)
            .map(tuple)
            .filter(|tuple| before.owner(tuple) != after.owner(tuple));
        let share = moved.count() as f64 / f64::from(FLOWS);
        let least = 1.0 / (members + 1) as f64;
        println!(
            "moved share, {members} members and one joins: {share:.4}, least possible {least:.4}"
        );
    }
}

/// Prints the balance of new flows over members, with modulo hashing as the baseline.
fn spread() {
    for members in [3, 7, 300u64] {
        let placement = Placement::new(KEY, &candidates(1..=members));
        let modulo =
            |number: u32| Some(1 + u64::from(number) * 2_654_435_761 % 4_294_967_296 % members);
        let placed = max_over_mean(
            members,
            (0..FLOWS).map(|number| placement.owner(&tuple(number))),
        );
        let modulo_placed = max_over_mean(members, (0..FLOWS).map(modulo));
        println!(
            "spread over {members} members, max over mean: {placed:.3}, number modulo {modulo_placed:.3}"
        );
    }
}

fn max_over_mean(members: u64, owners: impl Iterator<Item = Option<NodeId>>) -> f64 {
    let mut counts = BTreeMap::<NodeId, u32>::new();
    for owner in owners.flatten() {
        *counts.entry(owner).or_default() += 1;
    }
    let max = counts.values().max().copied().unwrap_or_default();
    f64::from(max) * members as f64 / f64::from(FLOWS)
}

/// Prints the hops of the first and second packet of a flow after member changes, and the queries
/// per flow.
fn hops() {
    for changes in [1, 10, 500u64] {
        let (mut first, mut second, mut queries, mut flows) = (0, 0, 0, 0);
        let nodes = members_after(changes);
        let service = service(nodes.iter().copied());
        let before = Placement::new(KEY, &candidates(1..=7));
        let mut path = FlowPath::new(&nodes, &service);
        for tuple in (0..10_000).map(tuple) {
            // The flows of members that have left have moved to other agents.
            let owner = before.owner(&tuple).filter(|owner| nodes.contains(owner));
            let Some(owner) = owner else {
                continue;
            };
            path.start(owner, &tuple);
            first += path.send(&tuple);
            queries += path.queries;
            second += path.send(&tuple);
            flows += 1;
        }
        let mean = |sum: u32| f64::from(sum) / f64::from(flows);
        println!(
            "after {changes} changes, {} members, {flows} flows: hops of the first packet {:.2}, \
             of the second {:.2}, questions a flow {:.2}",
            nodes.len(),
            mean(first),
            mean(second),
            mean(queries)
        );
    }
}

/// Returns the members after a repeated sequence of changes: three join, then two of those leave.
/// The first 7 members stay.
fn members_after(changes: u64) -> Vec<NodeId> {
    let mut nodes: Vec<NodeId> = (1..=7).collect();
    for change in 0..changes {
        if change % 5 < 3 {
            nodes.push(100 + change);
        } else {
            nodes.remove(7);
        }
    }
    nodes
}

/// The agents and the balancer that a flow's packets pass.
struct FlowPath<'a> {
    agents: BTreeMap<NodeId, (Ownership, AgentView)>,
    service: &'a ServiceView,
    hint: Option<NodeId>,
    queries: u32,
}

impl<'a> FlowPath<'a> {
    fn new(nodes: &[NodeId], service: &'a ServiceView) -> Self {
        let limits = OwnerLimits::default();
        let agent = |&node: &NodeId| {
            let ownership = Ownership::new(node, KEY, 1, limits);
            (node, (ownership, view(node, service.clone())))
        };
        Self {
            agents: nodes.iter().map(agent).collect(),
            service,
            hint: None,
            queries: 0,
        }
    }

    /// Starts a flow at an agent.
    fn start(&mut self, owner: NodeId, tuple: &FiveTuple) {
        self.agents[&owner].0.adopt(tuple);
        self.hint = None;
        self.queries = 0;
    }

    /// Sends a packet, and returns the number of agents that it passes.
    fn send(&mut self, tuple: &FiveTuple) -> u32 {
        let bytes = packet(tuple, false, b"x");
        let Some(first) = self.hint.or_else(|| self.service.placement().owner(tuple)) else {
            return 0;
        };
        let mut queue = VecDeque::from([(first, FlowBody::Forward(forward(&bytes)))]);
        let mut hops = 0;
        while let Some((node, body)) = queue.pop_front() {
            let Some((ownership, view)) = self.agents.get(&node) else {
                if let FlowBody::Hint(hint) = body {
                    self.hint = Some(hint.owner);
                }
                continue;
            };
            let mut out = Vec::new();
            match body {
                FlowBody::Forward(forward) => {
                    hops += 1;
                    let Ok(info) = parse(&forward.packet) else {
                        continue;
                    };
                    ownership.packet(view, &forward, &info, NOW, &mut out);
                }
                FlowBody::Query(query) => {
                    self.queries += 1;
                    let _ = ownership.query(view, &query, NOW, &mut out);
                }
                FlowBody::Answer(answer) => {
                    let _ = ownership.answer(view, &answer, NOW, &mut out);
                }
                _ => {}
            }
            for action in out {
                if let Action::Send { to, body } = action {
                    queue.push_back((to, body));
                }
            }
        }
        hops
    }
}

/// Prints the memory per flow and the encoded size of a moved flow.
fn flow_bytes() {
    let limits = StackLimits::default();
    let ownership = Ownership::new(1, KEY, 1, OwnerLimits::default().with_flows(1 << 20));
    let mut stacks = Vec::new();
    for flows in [1_000, 10_000, 50_000u32] {
        let start = resident_bytes();
        let first = stacks.len() as u32;
        for tuple in (first..first + flows).map(tuple) {
            ownership.adopt(&tuple);
            stacks.push(established(&tuple, &limits));
        }
        let idle = resident_bytes().saturating_sub(start) / u64::from(flows);
        for stack in stacks[first as usize..].iter_mut().flatten() {
            stack.write(&vec![1; limits.send]);
        }
        let busy = resident_bytes().saturating_sub(start) / u64::from(flows);
        println!("{flows} more flows: {idle} bytes a flow, {busy} with a full send buffer");
    }
    let buffers = limits.receive + limits.send;
    println!(
        "buffers of a flow: {buffers} bytes, a stack without them: {} bytes",
        size_of::<FlowStack>()
    );
    let fresh = established(&tuple(1), &limits);
    if let Some(quiet) = fresh.as_ref().and_then(FlowStack::quiet) {
        println!(
            "a moved flow: {} bytes",
            MovedFlow::from(&quiet).encoded_len()
        );
    }
}

fn established(tuple: &FiveTuple, limits: &StackLimits) -> Option<FlowStack> {
    let quiet = QuietFlow {
        tuple: *tuple,
        sent: 1,
        received: 1,
        window: 8_192,
        segment: Some(1_460),
        scale: Some(7),
        sack: true,
        receive: limits.receive as u32,
    };
    FlowStack::resume(&quiet, limits, NOW)
}

/// Returns the resident set size of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
