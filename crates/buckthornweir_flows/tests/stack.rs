//! The server side of one flow.

mod common;

use std::time::Duration;

use buckthornweir_flows::prelude::*;
use common::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smoltcp::socket::tcp::State;

/// Longest delay of a packet by a balancer, in milliseconds.
const MAX_DELAY_MS: u64 = 10;

/// Longest transfer time of an answer to a caller that reads slowly.
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
fn large_answer_arrives_completely_before_the_flow_closes() {
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
fn answer_arrives_after_the_caller_closes() {
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
fn duplicated_syn_gets_the_same_answer_with_the_same_key() {
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
fn reset_from_the_caller_ends_the_flow() {
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
fn unanswered_handshake_times_out_silently() {
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
fn flow_of_a_silent_caller_is_reset_after_the_idle_timeout() {
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

/// A damaged packet is dropped: neither its bytes nor its sequence numbers have an effect.
#[test]
fn damaged_packets_are_dropped() {
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        let mut now = Duration::from_secs(1);
        let (mut caller, mut server) = establish(&tuple, 4_096, &mut now);
        caller.socket().send_slice(b"hello").unwrap();
        let intact = caller.process(now, Vec::new()).remove(0);
        let mut damaged = intact.clone();
        *damaged.last_mut().unwrap() ^= 1;
        let mut answers = Vec::new();
        server.input(&damaged, now, &mut answers);
        assert_eq!(answers, Vec::<Vec<u8>>::new());
        assert_eq!(read_all(&mut server), b"");
        server.input(&intact, now, &mut answers);
        assert_eq!(read_all(&mut server), b"hello");
    }
}

/// Packets of a flow are reordered when they pass through different balancers, so data may arrive
/// with an acknowledgement number that is lower than an earlier one. The data must still be
/// accepted.
#[test]
fn data_with_an_outdated_acknowledgement_is_accepted() {
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        let mut now = Duration::from_secs(1);
        let (mut caller, mut server) = establish(&tuple, 4_096, &mut now);
        caller.socket().send_slice(b"hello").unwrap();
        let late = caller.process(now, Vec::new());
        assert_eq!(server.write(b"world"), WriteState::Accepted(5));
        let mut to_caller = Vec::new();
        server.poll(now, &mut to_caller);
        let mut acks = caller.process(now, to_caller);
        now += Duration::from_millis(20);
        acks.extend(caller.process(now, Vec::new()));
        assert!(!acks.is_empty());
        let mut answers = Vec::new();
        for packet in acks.iter().chain(&late) {
            server.input(packet, now, &mut answers);
        }
        assert_eq!(read_all(&mut server), b"hello");
    }
}

/// A link that delays each packet by a random time.
#[derive(Default)]
struct JitteryLink {
    packets: Vec<(Duration, Vec<u8>)>,
}

impl JitteryLink {
    fn send(&mut self, now: Duration, packets: Vec<Vec<u8>>, rng: &mut ChaCha8Rng) {
        for packet in packets {
            let delay = Duration::from_millis(rng.random_range(0..MAX_DELAY_MS));
            self.packets.push((now + delay, packet));
        }
    }

    /// Removes and returns the packets that have arrived, in order of arrival.
    fn arrived(&mut self, now: Duration) -> Vec<Vec<u8>> {
        self.packets.sort_by_key(|(at, _)| *at);
        let count = self.packets.partition_point(|(at, _)| *at <= now);
        let arrived = self.packets.drain(..count);
        arrived.map(|(_, packet)| packet).collect()
    }
}

/// Sends an answer over links with random delays to a caller that reads slowly, and returns how
/// many bytes the caller has read within [`TRANSFER_LIMIT`].
fn bytes_read_slowly(buffer: usize, bytes: usize, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut now = Duration::from_secs(1);
    let (mut caller, mut server) = establish(&tuple(40_000), buffer, &mut now);
    let (mut to_caller, mut to_server) = (JitteryLink::default(), JitteryLink::default());
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
        let acks = caller.process(now, to_caller.arrived(now));
        if rng.random_bool(0.1) {
            read += caller.read().len();
        }
        to_server.send(now, acks, &mut rng);
        now += Duration::from_millis(1);
    }
    read
}

/// Reordered window updates must neither stall a flow nor let it send more than the caller accepts.
#[test]
fn slow_reader_gets_the_whole_answer_despite_reordering() {
    for buffer in [2_000, 4_096, 20_000, 100_000] {
        for seed in 0..40 {
            let read = bytes_read_slowly(buffer, 200_000, seed);
            assert_eq!(read, 200_000, "buffer of {buffer} bytes, seed {seed}");
        }
    }
}

/// A link between a caller and its agent that delays and loses packets.
struct LossyLink {
    rng: ChaCha8Rng,
    /// Longest delay of a packet, in microseconds.
    max_delay_us: u64,
    /// Fraction of packets that are lost.
    loss: f64,
    in_flight: Vec<(Duration, Vec<u8>)>,
}

impl LossyLink {
    fn new(seed: u64, max_delay_us: u64, loss: f64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            max_delay_us,
            loss,
            in_flight: Vec::new(),
        }
    }

    fn send(&mut self, now: Duration, packets: Vec<Vec<u8>>) {
        for packet in packets {
            let time = Duration::from_micros(self.rng.random_range(50..self.max_delay_us));
            if !self.rng.random_bool(self.loss) {
                self.in_flight.push((now + time, packet));
            }
        }
    }

    /// Removes and returns the packets that have arrived, in order of arrival.
    fn arrived(&mut self, now: Duration) -> Vec<Vec<u8>> {
        let mut arrived: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        arrived.sort_by_key(|(at, _)| *at);
        arrived.into_iter().map(|(_, packet)| packet).collect()
    }
}

/// Returns the longest time of 30 request-answer exchanges on one flow.
fn slowest_answer(seed: u64, max_delay_us: u64, loss: f64) -> Duration {
    const REQUEST: usize = 300;
    const ANSWER: usize = 10_300;
    const STEP: Duration = Duration::from_micros(100);
    let mut now = Duration::from_secs(1);
    let (mut caller, mut server) = establish(&tuple(40_000), 4_096, &mut now);
    let mut to_server = LossyLink::new(seed, max_delay_us, loss);
    let mut to_caller = LossyLink::new(seed + 1_000, max_delay_us, loss);
    let mut longest = Duration::ZERO;
    for _ in 0..30 {
        let start_time = now;
        let (mut requested, mut left, mut got) = (0, ANSWER, 0);
        let sent = caller.socket().send_slice(&[1; REQUEST]);
        assert_eq!(sent, Ok(REQUEST));
        while got < ANSWER {
            now += STEP;
            let mut out = Vec::new();
            for packet in to_server.arrived(now) {
                server.input(&packet, now, &mut out);
            }
            requested += read_all(&mut server).len();
            if requested == REQUEST
                && let WriteState::Accepted(length) = server.write(&vec![7; left])
            {
                left -= length;
            }
            server.poll(now, &mut out);
            to_caller.send(now, out);
            for packet in to_caller.arrived(now) {
                let answers = caller.process(now, vec![packet]);
                to_server.send(now, answers);
            }
            got += caller.read().len();
            let answers = caller.process(now, Vec::new());
            to_server.send(now, answers);
        }
        longest = longest.max(now - start_time);
    }
    longest
}

/// The caller's buffer is smaller than an answer, so its window closes and opens again. If packets
/// are reordered, the packet with the closed window may arrive last, which must not stall the
/// answer.
#[test]
fn reordered_window_updates_do_not_delay_answers() {
    // No packet is lost, so no answer needs a retransmission, which comes only after a second.
    let cases = [
        (43, 1_000),
        (64, 1_000),
        (135, 1_000),
        (88, 3_000),
        (104, 3_000),
        (143, 3_000),
    ];
    for (seed, max_delay_us) in cases {
        let longest = slowest_answer(seed, max_delay_us, 0.0);
        assert!(longest < Duration::from_secs(1), "{longest:?}, seed {seed}");
    }
}

/// With packet loss in addition, an answer waits for retransmissions only, and not for the
/// keep-alive probe of a silent caller.
#[test]
fn lost_packets_do_not_delay_answers_until_the_probe() {
    let probe = StackLimits::default().idle / 4;
    for seed in [926, 982, 1_020, 1_251, 1_383] {
        let longest = slowest_answer(seed, 1_000, 0.01);
        assert!(longest < probe, "{longest:?}, seed {seed}");
    }
}
