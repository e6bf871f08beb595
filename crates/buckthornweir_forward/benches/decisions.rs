//! Cost of forwarding decisions by the number of agents, compared with a plain hash over them, and
//! the balance of load between backend servers of unequal speed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::agent::{Agent, AgentConfig, View};
use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::balancer::{Balancer, Decision};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::{OverloadPolicy, Plan, Route, Service, Split};
use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::speed::Speed;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const SIZES: [u16; 5] = [10, 45, 50, 300, 2_800];
const DOMAINS: u16 = 4;

fn peer(index: u16) -> Peer {
    let [high, low] = index.to_be_bytes();
    let ip = Ipv4Addr::new(10, 0, high, low);
    Peer {
        node: u64::from(index) + 1,
        instance: 1,
        packet_addr: SocketAddrV4::new(ip, 7000),
        ask_addr: SocketAddrV4::new(ip, 7100),
        domain: format!("domain-{}", index % DOMAINS).into(),
        service: "desk".into(),
        accepts: true,
        cold: false,
        free: 4,
        weight: 16,
    }
}

fn plan() -> Plan {
    let route = Route {
        splits: vec![Split {
            service: "desk".into(),
            weight: 1,
        }],
        ..Route::default()
    };
    Plan {
        version: 1,
        routes: [(SERVICE, route)].into(),
        ..Plan::default()
    }
}

/// Returns a plan whose service has overload control.
fn weighted_plan() -> Plan {
    let service = Service {
        overload: Some(OverloadPolicy::default()),
        ..Service::default()
    };
    Plan {
        services: [("desk".into(), service)].into(),
        ..plan()
    }
}

fn segment(syn: bool) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_000),
        target: SERVICE,
        syn,
        fin: false,
        rst: false,
        returned: false,
        sequence: 1,
        acknowledged: 0,
        length: 0,
        tag: 0,
    }
}

fn decisions(c: &mut Criterion) {
    let plan = plan();
    let now = Duration::from_secs(5);
    let mut group = c.benchmark_group("forward");
    for size in SIZES {
        let list: Vec<Peer> = (0..size).map(peer).collect();
        group.bench_with_input(BenchmarkId::new("view", size), &list, |b, list| {
            b.iter(|| Peers::new(list.iter().cloned()));
        });
        let peers = Peers::new(list.iter().cloned());
        let mut balancer = Balancer::new("domain-1");
        for (name, packet) in [("data", segment(false)), ("syn", segment(true))] {
            group.bench_with_input(BenchmarkId::new(name, size), &packet, |b, packet| {
                b.iter(|| balancer.route(now, &plan, &peers, black_box(packet)));
            });
        }
        // Weights below 16 for a quarter of the agents.
        let weighted = Peers::new(list.iter().cloned().enumerate().map(|(i, peer)| Peer {
            weight: if i % 4 == 0 { 6 } else { 16 },
            ..peer
        }));
        let policy = weighted_plan();
        let packet = segment(true);
        group.bench_with_input(
            BenchmarkId::new("weighted-syn", size),
            &packet,
            |b, packet| {
                b.iter(|| balancer.route(now, &policy, &weighted, black_box(packet)));
            },
        );
        group.bench_with_input(BenchmarkId::new("plain-hash", size), &list, |b, list| {
            let key = segment(false).caller_flow();
            b.iter(|| list[(black_box(&key).hash() % list.len() as u64) as usize].packet_addr);
        });
    }
    deliver(&mut group, &plan, now);
    group.finish();
}

fn deliver(
    group: &mut criterion::BenchmarkGroup<'_, criterion::measurement::WallTime>,
    plan: &Plan,
    now: Duration,
) {
    let peers = Peers::new((0..10).map(peer));
    let config = AgentConfig {
        node: 1,
        packet_addr: peer(0).packet_addr,
        domain: "domain-0".into(),
        service: "desk".into(),
        cold_bound: ColdBound {
            factor: 1.5,
            slack: 5.0,
        },
        report_period: Duration::from_secs(60),
        started_ms: 0,
    };
    let mut agent = Agent::new(config);
    let report = Report {
        id: "i-1".into(),
        born: 1,
        sequence: 1,
        state: ReportState::Ready,
        cold: Duration::ZERO,
        slots: 5,
    };
    let mut out = Vec::new();
    agent.report(now, report, &mut out);
    let view = View {
        plan,
        peers: &peers,
        grace_elapsed: true,
        peers_synced: true,
    };
    let from = peer(9).packet_addr;
    agent.caller_packet(now, view, from, &segment(true), &[], &mut out);
    group.bench_function("deliver", |b| {
        b.iter(|| {
            out.clear();
            agent.caller_packet(now, view, from, black_box(&segment(true)), &[], &mut out);
        });
    });
}

/// Number of requests that a backend server of the simulation runs at a time.
const SLOTS: usize = 3;
/// Mean service time of a fast backend server in seconds. A quarter of them takes twice as long.
const SERVICE_SECS: f64 = 0.05;
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time before the measurement, in which the weights settle, and the time of the measurement.
const WARM_UP_SECS: u64 = 60;
const MEASURED_SECS: u64 = 60;

/// A small generator of random numbers with a fixed seed.
struct Random(u64);

impl Random {
    fn exponential(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        -(1.0 - ((x ^ (x >> 31)) >> 11) as f64 / (1_u64 << 53) as f64).ln()
    }

    /// Returns a service time with mean `mean` and a spread of 0.5.
    fn service(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(mean * (0..4).map(|_| self.exponential()).sum::<f64>() / 4.0)
    }
}

#[derive(Clone, Debug, Default)]
struct Server {
    mean: f64,
    running: usize,
    /// Arrival times of waiting requests.
    queue: VecDeque<Duration>,
    busy: Duration,
    speed: Speed,
    /// Step that balancers know.
    weight: u8,
}

/// Utilisation of the busiest backend server divided by the mean, and percentiles of the wait.
#[derive(Debug)]
struct Balance {
    busiest: f64,
    median_wait: Duration,
    p99_wait: Duration,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    End { server: usize, took: Duration },
    Announcement,
}

struct Simulation {
    now: Duration,
    random: Random,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    waits: Vec<Duration>,
}

impl Simulation {
    fn start(&mut self, server: usize, since: Duration) {
        let took = self.random.service(self.servers[server].mean);
        self.servers[server].running += 1;
        if self.now >= Duration::from_secs(WARM_UP_SECS) {
            self.servers[server].busy += took;
            self.waits.push(self.now - since);
        }
        let end = Event::End { server, took };
        self.events.push(Reverse((self.now + took, end)));
    }

    fn end(&mut self, server: usize, took: Duration) {
        self.servers[server].running -= 1;
        self.servers[server].speed.note(self.now, took, OBJECTIVE);
        if let Some(since) = self.servers[server].queue.pop_front() {
            self.start(server, since);
        }
    }

    /// Returns the agents with the steps of the last announcement, and announces new ones.
    fn announce(&mut self) -> Peers {
        let now = self.now;
        let peers = Peers::new(self.servers.iter().zip(0..).map(|(server, index)| Peer {
            domain: "domain-0".into(),
            weight: server.weight,
            ..peer(index)
        }));
        for server in &mut self.servers {
            server.weight = server.speed.step(now);
        }
        peers
    }
}

/// Runs `load` times the capacity of `size` backend servers.
fn simulate(plan: &Plan, size: usize, load: f64) -> Balance {
    let server = |i: usize| Server {
        mean: SERVICE_SECS * if i.is_multiple_of(4) { 2.0 } else { 1.0 },
        weight: 16,
        ..Server::default()
    };
    let servers: Vec<Server> = (0..size).map(server).collect();
    let capacity: f64 = servers.iter().map(|s| SLOTS as f64 / s.mean).sum();
    let mut simulation = Simulation {
        now: Duration::ZERO,
        random: Random(5),
        servers,
        events: [Event::Announcement, Event::Arrival]
            .map(|event| Reverse((Duration::ZERO, event)))
            .into(),
        waits: Vec::new(),
    };
    let mut balancer = Balancer::new("domain-0");
    let mut peers = Peers::default();
    let mut flow = 0_u32;
    while let Some(Reverse((now, event))) = simulation.events.pop()
        && now < Duration::from_secs(WARM_UP_SECS + MEASURED_SECS)
    {
        simulation.now = now;
        match event {
            Event::End { server, took } => simulation.end(server, took),
            Event::Announcement => {
                peers = simulation.announce();
                let next = now + Duration::from_secs(1);
                simulation.events.push(Reverse((next, event)));
            }
            Event::Arrival => {
                let gap = simulation.random.exponential() / (load * capacity);
                let next = now + Duration::from_secs_f64(gap);
                simulation.events.push(Reverse((next, event)));
                flow += 1;
                let mut packet = segment(true);
                packet
                    .source
                    .set_ip(Ipv4Addr::from_bits(0x6440_0000 + flow));
                if let Decision::Forward { to, .. } = balancer.route(now, plan, &peers, &packet) {
                    let octets = to.ip().octets();
                    let index = usize::from(u16::from_be_bytes([octets[2], octets[3]]));
                    match simulation.servers[index].running < SLOTS {
                        true => simulation.start(index, now),
                        false => simulation.servers[index].queue.push_back(now),
                    }
                }
            }
        }
    }
    simulation.balance()
}

impl Simulation {
    fn balance(mut self) -> Balance {
        // Requests that still wait have waited for this long at least.
        for server in &self.servers {
            self.waits
                .extend(server.queue.iter().map(|since| self.now - *since));
        }
        self.waits.sort_unstable();
        let busy: Vec<f64> = self.servers.iter().map(|s| s.busy.as_secs_f64()).collect();
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        let len = self.waits.len();
        Balance {
            busiest: busy.iter().copied().fold(0.0, f64::max) / mean,
            median_wait: self.waits[len / 2],
            p99_wait: self.waits[len * 99 / 100],
        }
    }
}

/// Prints the balance for a quarter of the agents at half speed.
fn print_balance(_: &mut Criterion) {
    for size in [10, 50, 300] {
        for load in [0.5, 0.7, 0.8] {
            let plans = [("equal weights", plan()), ("by speed", weighted_plan())];
            for (name, plan) in plans {
                let Balance {
                    busiest,
                    median_wait,
                    p99_wait,
                } = simulate(&plan, size, load);
                println!(
                    "balance/{size} agents/load {load}/{name}: busiest over mean {busiest:.2}, \
                     wait p50 {} ms, p99 {} ms",
                    median_wait.as_millis(),
                    p99_wait.as_millis()
                );
            }
        }
    }
}

criterion_group!(benches, decisions, print_balance);
criterion_main!(benches);
