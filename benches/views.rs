//! Measures the cost of a packet at a balancer and of a change of members, by number of services and of
//! members.
//!
//! Run it with `cargo bench --bench views`.

#[path = "../crates/buckthornweir_flows/benches/common/mod.rs"]
mod common;
mod slopes;

use std::collections::BTreeSet;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_flows::balancer::HintLimits;
use buckthornweir_flows::messages::{FlowBody, FlowKey, FlowMessage, Hint};
use buckthornweir_flows::prelude::*;
use buckthornweir_requests::messages::{Load, RequestBody, RequestMessage};
use buckthornweir_wire::{Body, ClusterKey, Envelope, Heartbeat, open, seal};
use common::{KEY, forward, member, packet, tuple};
use slopes::{Point, median_nanos, print_fit, resident_bytes};

/// Numbers of services of a bundle.
const SERVICES: [usize; 3] = [10, 100, 1_100];

/// Numbers of agents of one service.
const MEMBERS: [usize; 4] = [3, 30, 300, 2_800];

/// Number of agents of all services together.
const AGENTS: usize = 2_800;

/// Number of flows whose packets are routed in turn.
const FLOWS: u32 = 10_000;

/// Sizes of the authenticated packets.
const PACKET_BYTES: [usize; 3] = [64, 576, 1_400];

const NOW: Duration = Duration::from_secs(1);
const ROUNDS: usize = 15;

fn main() {
    memory_by_services();
    route_by_services();
    route_by_members();
    authenticate();
    copies_by_services();
    views_by_services();
    view_by_members();
    message_bytes();
}

fn address(service: usize) -> SocketAddr {
    let [high, low] = (service as u16).to_be_bytes();
    SocketAddr::from(([198, 51, high, low], 80))
}

fn members(numbers: impl Iterator<Item = usize>) -> Vec<Member> {
    numbers.map(|number| member(1 + number as u64)).collect()
}

/// Returns the view of one of `services` services, which share all agents evenly.
fn service_view(services: usize, service: usize) -> ServiceView {
    let agents = members((service..AGENTS).step_by(services));
    let name = format!("service-{service}").into();
    ServiceView::new(name, vec![address(service)], agents, &BTreeSet::new(), KEY)
}

/// Returns the time to parse and route a packet, in nanoseconds.
fn route_nanos(view: &BalancerView, services: usize, with_hints: bool) -> f64 {
    let balancer = Balancer::new(KEY, &HintLimits::default());
    let mut packets = Vec::new();
    for number in 0..FLOWS {
        let service = address(number as usize % services);
        let flow = FiveTuple {
            service,
            ..tuple(number)
        };
        packets.push(packet(&flow, false, &[0; 64]));
        let owner = view.service(service).map(|known| known.members()[0].node);
        let hint = Hint {
            flow: Some(FlowKey::from(&flow)),
            owner: owner.unwrap_or_default(),
            ..Hint::default()
        };
        if with_hints {
            let _ = balancer.hint(&hint, NOW);
        }
    }
    let mut packet_cycle = packets.iter().cycle();
    median_nanos(ROUNDS, 100_000, || {
        if let Some(Ok(info)) = packet_cycle.next().map(|bytes| parse(bytes)) {
            black_box(balancer.route(view, &info, NOW));
        }
    })
}

fn route_by_services() {
    let (mut plain, mut hinted) = (Vec::new(), Vec::new());
    for count in SERVICES {
        let views = (0..count).map(|service| service_view(count, service));
        let view = BalancerView::new(1, views.collect());
        plain.push(Point::new(count, route_nanos(&view, count, false)));
        hinted.push(Point::new(count, route_nanos(&view, count, true)));
    }
    print_fit("balancer: parse and route", "services", "ns/packet", &plain);
    print_fit(
        "balancer: parse and route by hint",
        "services",
        "ns/packet",
        &hinted,
    );
}

fn route_by_members() {
    let point = |count: usize| {
        let agents = members(0..count);
        let name = "service-0".into();
        let service = ServiceView::new(name, vec![address(0)], agents, &BTreeSet::new(), KEY);
        let view = BalancerView::new(1, vec![service]);
        Point::new(count, route_nanos(&view, 1, false))
    };
    let points = MEMBERS.map(point);
    print_fit("balancer: parse and route", "members", "ns/packet", &points);
}

/// Measures encoding and tagging a forwarded packet at the balancer, and verifying and decoding it at the agent.
fn authenticate() {
    let key = ClusterKey::new([7; 32]);
    let (mut seal_times, mut open_times) = (Vec::new(), Vec::new());
    for length in PACKET_BYTES {
        let body = Some(FlowBody::Forward(forward(&vec![0x45; length])));
        let envelope = Envelope::new(1, Body::Flow(FlowMessage { body }));
        let datagram = seal(&key, &envelope);
        let nanos = median_nanos(ROUNDS, 20_000, || {
            black_box(seal(&key, black_box(&envelope)));
        });
        seal_times.push(Point::new(length, nanos));
        let nanos = median_nanos(ROUNDS, 20_000, || {
            let _ = black_box(open(&key, black_box(&datagram)));
        });
        open_times.push(Point::new(length, nanos));
    }
    print_fit("balancer: seal", "bytes", "ns/packet", &seal_times);
    print_fit("agent: open", "bytes", "ns/packet", &open_times);
}

/// Returns the views of all services of a bundle.
fn all_views(services: usize) -> Vec<ServiceView> {
    let numbers = 0..services;
    numbers
        .map(|service| service_view(services, service))
        .collect()
}

/// Measures the memory of one copy of all views. Must run first: views that reuse freed memory would not add to
/// the resident memory.
fn memory_by_services() {
    let mut kept = Vec::new();
    let mut point = |count| {
        let before = resident_bytes();
        kept.push(all_views(count));
        Point::new(count, (resident_bytes() - before) / 1e6)
    };
    let points = SERVICES.map(&mut point);
    print_fit(
        "one copy of all views, 2,800 agents in all",
        "services",
        "MB",
        &points,
    );
}

/// Measures cloning all views. On each change of members or bundle, the daemon recomputes the views whose
/// inputs have changed, and clones all others.
fn copies_by_services() {
    let point = |count| {
        let views = all_views(count);
        let nanos = median_nanos(ROUNDS, 1, || {
            black_box(BalancerView::new(1, views.clone()));
        });
        Point::new(count, nanos / 1e6)
    };
    let points = SERVICES.map(point);
    print_fit("copy of all views", "services", "ms", &points);
}

/// Measures computing all views, as at a start, and the largest one, as at a change.
fn views_by_services() {
    let (mut all, mut single) = (Vec::new(), Vec::new());
    for count in SERVICES {
        let nanos = median_nanos(3, 1, || {
            black_box(all_views(count));
        });
        all.push(Point::new(count, nanos / 1e6));
        let nanos = median_nanos(ROUNDS, 1, || {
            black_box(service_view(count, 0));
        });
        single.push(Point::new(count, nanos / 1e6));
    }
    print_fit(
        "all views at a start, 2,800 agents in all",
        "services",
        "ms",
        &all,
    );
    print_fit("one view, 2,800 agents in all", "services", "ms", &single);
}

fn view_by_members() {
    let point = |count: usize| {
        let nanos = median_nanos(3, 1, || {
            let agents = members(0..count);
            let name = "service-0".into();
            let out = BTreeSet::new();
            black_box(ServiceView::new(name, vec![address(0)], agents, &out, KEY));
        });
        Point::new(count, nanos / 1e6)
    };
    let points = MEMBERS.map(point);
    print_fit("one view of one service", "members", "ms", &points);
}

/// Prints the sizes of messages that are sent periodically.
fn message_bytes() {
    let key = ClusterKey::new([7; 32]);
    let print = |name: &str, body: Body| {
        let mut envelope = Envelope::new(u64::MAX, body);
        envelope.stamp_millis = 1_800_000_000_000;
        println!(
            "{name}: {} bytes including the tag",
            seal(&key, &envelope).len()
        );
    };
    let load = Load {
        free: 5,
        rate_milli: 100_000,
        response_us: 0,
    };
    let load = RequestMessage::new(RequestBody::Load(load));
    print("load report", Body::Request(Box::new(load)));
    print("heartbeat of a link", Body::Heartbeat(Heartbeat {}));
}
