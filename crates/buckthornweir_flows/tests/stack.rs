//! The server's end of one flow.

mod common;

use std::time::Duration;

use buckthornweir_flows::prelude::*;
use common::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smoltcp::socket::tcp::State;

/// The longest time in milliseconds that a balancer takes for a packet.
const LONGEST_DELAY: u64 = 10;

/// How long an answer may take to a caller that reads slowly.
const TRANSFER_LIMIT: Duration = Duration::from_secs(30);

fn assert_send<T: Send>(_: &T) {}

fn read_all(server: &mut FlowStack) -> Vec<u8> {
    let mut bytes = vec![0; 1 << 16];
    match server.read(&mut bytes) {
        ReadState::Data(length) => bytes[..length].to_vec(),
        _ => Vec::new(),
    }
}

#[test]
fn echo_over_both_ip_versions() {
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        let mut now = Duration::from_secs(1);
        let (mut caller, mut server) = establish(&tuple, 4_096, &mut now);
        assert_send(&server);
        caller.socket().send_slice(b"hello").unwrap();
        exchange(&mut caller, &mut server, &mut now, 4);
        assert_eq!(read_all(&mut server), b"hello");
        assert_eq!(server.write(b"world"), WriteState::Accepted(5));
        exchange(&mut caller, &mut server, &mut now, 4);
        assert_eq!(caller.read(), b"world");
    }
}

#[test]
fn large_answer_arrives_whole_and_closes() {
    let mut now = Duration::from_secs(1);
    let (mut caller, mut server) = establish(&tuple(40_000), 4_096, &mut now);
    let answer: Vec<u8> = (0..100_000u32).map(|number| number as u8).collect();
    let mut written = 0;
    let mut got = Vec::new();
    for _ in 0..1_000 {
        if let WriteState::Accepted(length) = server.write(&answer[written..]) {
            written += length;
        }
        exchange(&mut caller, &mut server, &mut now, 2);
        got.extend(caller.read());
    }
    assert_eq!(got, answer);
    server.close();
    assert_eq!(server.write(b"late"), WriteState::Closed);
    exchange(&mut caller, &mut server, &mut now, 4);
    assert_eq!(caller.state(), State::CloseWait);
    caller.socket().close();
    exchange(&mut caller, &mut server, &mut now, 4);
    assert!(!server.is_open());
}

#[test]
fn caller_ends_first() {
    let mut now = Duration::from_secs(1);
    let (mut caller, mut server) = establish(&tuple(40_000), 4_096, &mut now);
    caller.socket().send_slice(b"last").unwrap();
    caller.socket().close();
    exchange(&mut caller, &mut server, &mut now, 4);
    let mut buf = [0; 16];
    assert_eq!(server.read(&mut buf), ReadState::Data(4));
    assert_eq!(server.read(&mut buf), ReadState::End);
    assert_eq!(server.write(b"answer"), WriteState::Accepted(6));
    server.close();
    exchange(&mut caller, &mut server, &mut now, 4);
    assert_eq!(caller.read(), b"answer");
    assert!(!server.is_open());
}

#[test]
fn every_agent_answers_a_duplicated_syn_alike() {
    let now = Duration::from_secs(1);
    let packet = syn(&tuple(40_000), 1_000);
    let answers = [Duration::ZERO, now].map(|now| {
        let mut out = Vec::new();
        let limits = StackLimits::default();
        let mut server = FlowStack::accept(&info(&packet), &KEY, &limits, now);
        server.input(&packet, now, &mut out);
        out
    });
    assert_eq!(answers[0].len(), 1);
    assert_eq!(answers[0], answers[1]);
    let other = syn(&tuple(40_000), 2_000);
    let mut out = Vec::new();
    let mut server = FlowStack::accept(&info(&other), &KEY, &StackLimits::default(), now);
    server.input(&other, now, &mut out);
    assert_ne!(info(&out[0]).seq, info(&answers[0][0]).seq);
}

#[test]
fn reset_ends_a_flow() {
    let mut now = Duration::from_secs(1);
    let (mut caller, mut server) = establish(&tuple(40_000), 4_096, &mut now);
    caller.socket().abort();
    exchange(&mut caller, &mut server, &mut now, 2);
    assert_eq!(server.read(&mut [0; 4]), ReadState::Reset);
    assert_eq!(server.write(b"x"), WriteState::Closed);
    assert!(!server.is_open());
}

#[test]
fn abort_resets_the_caller() {
    let mut now = Duration::from_secs(1);
    let (mut caller, mut server) = establish(&tuple(40_000), 4_096, &mut now);
    server.abort();
    exchange(&mut caller, &mut server, &mut now, 2);
    assert_eq!(caller.state(), State::Closed);
}

#[test]
fn handshake_without_an_answer_fails_silently() {
    let packet = syn(&tuple(40_000), 1_000);
    let limits = StackLimits::default();
    let start = Duration::from_secs(1);
    let mut server = FlowStack::accept(&info(&packet), &KEY, &limits, start);
    let mut out = Vec::new();
    server.input(&packet, start, &mut out);
    out.clear();
    let mut timer = server.poll(start, &mut out);
    let mut last = start;
    while let Some(at) = timer {
        assert!(at > last);
        last = at;
        timer = server.poll(at, &mut out);
    }
    assert_eq!(last, start + limits.handshake);
    assert!(!server.is_open());
    assert!(out.iter().all(|packet| info(packet).syn));
}

#[test]
fn silent_caller_ends_after_the_idle_limit() {
    let mut now = Duration::from_secs(1);
    let (_, mut server) = establish(&tuple(40_000), 4_096, &mut now);
    let limits = StackLimits::default();
    let mut out = Vec::new();
    let mut probes = 0;
    while let Some(at) = server.poll(now, &mut out) {
        assert!(at > now && at <= Duration::from_secs(1) + limits.idle);
        now = at;
        probes += 1;
    }
    assert!(probes >= 3);
    assert!(!server.is_open());
    assert!(info(out.last().unwrap()).rst);
}

/// Packets of a flow that pass through different balancers overtake one another: data whose
/// acknowledgement number is older than one seen before counts all the same.
#[test]
fn data_behind_a_newer_acknowledgement_is_taken() {
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        let mut now = Duration::from_secs(1);
        let (mut caller, mut server) = establish(&tuple, 4_096, &mut now);
        caller.socket().send_slice(b"hello").unwrap();
        let late = caller.turn(now, Vec::new());
        assert_eq!(server.write(b"world"), WriteState::Accepted(5));
        let mut to_caller = Vec::new();
        server.poll(now, &mut to_caller);
        let mut acknowledging = caller.turn(now, to_caller);
        now += Duration::from_millis(20);
        acknowledging.extend(caller.turn(now, Vec::new()));
        assert!(!acknowledging.is_empty());
        let mut answers = Vec::new();
        for packet in acknowledging.iter().chain(&late) {
            server.input(packet, now, &mut answers);
        }
        assert_eq!(read_all(&mut server), b"hello");
    }
}

/// Packets on their way, each with a delay of its own.
#[derive(Default)]
struct Sprayed {
    packets: Vec<(Duration, Vec<u8>)>,
}

impl Sprayed {
    fn send(&mut self, now: Duration, packets: Vec<Vec<u8>>, rng: &mut ChaCha8Rng) {
        for packet in packets {
            let delay = Duration::from_millis(rng.random_range(0..LONGEST_DELAY));
            self.packets.push((now + delay, packet));
        }
    }

    /// Returns the packets that have arrived, in order of arrival.
    fn arrived(&mut self, now: Duration) -> Vec<Vec<u8>> {
        self.packets.sort_by_key(|(at, _)| *at);
        let count = self.packets.partition_point(|(at, _)| *at <= now);
        let arrived = self.packets.drain(..count);
        arrived.map(|(_, packet)| packet).collect()
    }
}

/// Sends an answer to a caller that reads slowly, over balancers of which each takes its own time.
/// Returns how many bytes came in time.
fn slow_reader_gets(buffer: usize, bytes: usize, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Duration::from_secs(1);
    let (mut caller, mut server) = establish(&tuple(40_000), buffer, &mut now);
    let (mut to_caller, mut to_server) = (Sprayed::default(), Sprayed::default());
    let answer = vec![7; bytes];
    let (mut written, mut read) = (0, 0);
    let limit = now + TRANSFER_LIMIT;
    while now < limit && read < bytes {
        if let WriteState::Accepted(length) = server.write(&answer[written..]) {
            written += length;
        }
        let mut out = Vec::new();
        for packet in to_server.arrived(now) {
            server.input(&packet, now, &mut out);
        }
        server.poll(now, &mut out);
        to_caller.send(now, out, &mut rng);
        let acknowledging = caller.turn(now, to_caller.arrived(now));
        if rng.random_bool(0.1) {
            read += caller.read().len();
        }
        to_server.send(now, acknowledging, &mut rng);
        now += Duration::from_millis(1);
    }
    read
}

/// Windows that overtake one another neither stop a flow nor let it send more than the caller takes.
#[test]
fn slow_reader_behind_several_balancers_gets_the_whole_answer() {
    for buffer in [2_000, 4_096, 20_000, 100_000] {
        for seed in 0..40 {
            let read = slow_reader_gets(buffer, 200_000, seed);
            assert_eq!(read, 200_000, "buffer of {buffer} bytes, seed {seed}");
        }
    }
}
