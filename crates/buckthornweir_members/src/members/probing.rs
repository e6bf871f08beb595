//! Direct and indirect probes of other members.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use super::Members;
use crate::messages::Body;
use crate::{Config, Health, NodeId};

/// The maximum number of probes in flight on behalf of other members.
const MAX_RELAYS: usize = 64;

/// The score of the worst local health.
const MAX_HEALTH_SCORE: u32 = 2;

/// The number of probe periods between two probes of a random member.
const RANDOM_PERIODS: u32 = 2;

/// The interval at which the ping of a probe is repeated.
const PING_INTERVAL: Duration = Duration::from_millis(200);

/// The number of rounds of indirect probes per probe.
const HELPER_ROUNDS: u32 = 2;

/// The timeout of a probe on behalf of another member.
const RELAY_TIMEOUT: Duration = Duration::from_millis(450);

#[derive(Debug)]
struct Probe {
    target: NodeId,
    sequence: u32,
    started: Duration,
    next_ping: Duration,
    /// The number of rounds in which helpers were asked.
    rounds: u32,
    asked: usize,
    replies: usize,
}

/// A probe on behalf of another member.
#[derive(Debug)]
struct Relay {
    target: NodeId,
    sequence: u32,
    requester: SocketAddr,
    request: u32,
    started: Duration,
    next_ping: Duration,
}

/// The probes in flight and the state of their schedule.
#[derive(Debug, Default)]
pub(super) struct Probing {
    sequence: u32,
    next_probe: Duration,
    cursor: u32,
    targets: Vec<NodeId>,
    generation: Option<u64>,
    probes: Vec<Probe>,
    relays: Vec<Relay>,
    /// A local health score as in Lifeguard, from 0 for healthy to [`MAX_HEALTH_SCORE`]. It rises with
    /// failures that this process probably caused itself.
    health_score: u32,
}

impl Probing {
    pub(super) fn start(&mut self, now: Duration) {
        self.next_probe = now;
    }

    /// Drops all probes in flight.
    pub(super) fn clear(&mut self, now: Duration) {
        self.probes.clear();
        self.relays.clear();
        self.next_probe = now;
    }

    /// Extends a timeout by a quarter per point of the local health score.
    pub(super) fn scale(&self, timeout: Duration) -> Duration {
        timeout + timeout * self.health_score / 4
    }

    pub(super) fn degrade_health(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    fn restore_health(&mut self) {
        self.health_score = self.health_score.saturating_sub(1);
    }

    /// Returns when the next step of a probe is due.
    pub(super) fn next_due(&self, config: &Config) -> Duration {
        let limit = self.scale(config.probe_timeout) + self.scale(config.indirect_timeout);
        let probes = self
            .probes
            .iter()
            .map(|probe| probe.next_ping.min(probe.started + limit));
        let relays = self.relays.iter().map(|relay| relay.next_ping);
        probes
            .chain(relays)
            .min()
            .map_or(self.next_probe, |at| at.min(self.next_probe))
    }

    /// Returns whether a probe of the member is in flight and timed out without a direct answer.
    fn is_late(&self, node: NodeId) -> bool {
        let mut probes = self.probes.iter();
        probes.any(|probe| probe.target == node && probe.rounds > 0)
    }

    /// Forces a new selection of monitored members before the next probe.
    fn invalidate_targets(&mut self) {
        self.generation = None;
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1).max(1);
        self.sequence
    }
}

impl Members {
    pub(super) fn tick_probes(&mut self) {
        self.continue_probes();
        self.continue_relays();
        if self.now < self.probing.next_probe {
            return;
        }
        self.refresh_targets();
        let period = self.config.probe_period;
        let slots = self.probing.targets.len().max(1) as u32;
        if self.table.live().is_empty() {
            self.probing.next_probe = self.now + self.config.join_interval;
            self.contact_seeds();
            return;
        }
        let jitter = self.rng.random_range(0.9..1.1);
        self.probing.next_probe = self.now + (period / slots).mul_f64(jitter);
        self.probe_next(slots);
    }

    fn probe_next(&mut self, slots: u32) {
        let cursor = self.probing.cursor;
        self.probing.cursor = cursor.wrapping_add(1);
        if let Some(&target) = self.probing.targets.get((cursor % slots) as usize) {
            self.probe(target);
        }
        if self.budget.available() > 0
            && cursor.is_multiple_of(slots * RANDOM_PERIODS)
            && let Some(target) = self.random_live()
        {
            self.probe(target);
        }
    }

    /// Selects the next responsive members in ring order, plus the suspect or late members between them.
    fn refresh_targets(&mut self) {
        if self.probing.generation == Some(self.table.generation()) {
            return;
        }
        self.probing.generation = Some(self.table.generation());
        let mut alive = 0;
        let monitors = self.config.monitors;
        let probing = &self.probing;
        let successors = self
            .table
            .successors()
            .filter(|entry| entry.health != Health::Dead);
        let near = successors.take_while(|entry| {
            let wanted = alive < monitors;
            let answers = entry.health == Health::Alive && !probing.is_late(entry.record.node);
            alive += usize::from(answers);
            wanted
        });
        self.probing.targets = near.map(|entry| entry.record.node).collect();
    }

    fn probe(&mut self, target: NodeId) {
        if self
            .probing
            .probes
            .iter()
            .any(|probe| probe.target == target)
        {
            return;
        }
        self.counters.probes += 1;
        let sequence = self.probing.next_sequence();
        let started = self.now;
        self.probing.probes.push(Probe {
            target,
            sequence,
            started,
            next_ping: started + PING_INTERVAL,
            rounds: 0,
            asked: 0,
            replies: 0,
        });
        self.send_to(target, Body::Ping { sequence });
    }

    /// Repeats pings, asks helpers, and suspects the members that nobody reached.
    fn continue_probes(&mut self) {
        let timeout = self.probing.scale(self.config.probe_timeout);
        let round_timeout = self.probing.scale(self.config.indirect_timeout) / HELPER_ROUNDS;
        let limit = timeout + round_timeout * HELPER_ROUNDS;
        let mut probes = std::mem::take(&mut self.probing.probes);
        for probe in &mut probes {
            if self.now >= probe.next_ping {
                probe.next_ping = self.now + PING_INTERVAL;
                self.send_to(
                    probe.target,
                    Body::Ping {
                        sequence: probe.sequence,
                    },
                );
            }
            if probe.rounds < HELPER_ROUNDS
                && self.now >= probe.started + timeout + round_timeout * probe.rounds
            {
                probe.rounds += 1;
                self.probing.invalidate_targets();
                self.ask_helpers(probe);
            }
        }
        let failed = probes.extract_if(.., |probe| self.now >= probe.started + limit);
        let failed: Vec<_> = failed.collect();
        self.probing.probes = probes;
        for probe in failed {
            self.fail_probe(&probe);
        }
    }

    fn ask_helpers(&mut self, probe: &mut Probe) {
        let body = Body::IndirectPing {
            sequence: probe.sequence,
            target: probe.target,
        };
        for helper in self.random_helpers(probe.target) {
            probe.asked += 1;
            self.send_to(helper, body.clone());
        }
    }

    fn fail_probe(&mut self, probe: &Probe) {
        self.counters.failed_probes += 1;
        if probe.asked > 0 && probe.replies == 0 {
            self.probing.degrade_health();
        }
        self.suspect(probe.target);
    }

    pub(super) fn handle_ack(&mut self, sender: NodeId, sequence: u32) {
        let matches = |target, other| target == sender && other == sequence;
        let probes = &mut self.probing.probes;
        if probes
            .extract_if(.., |probe| matches(probe.target, probe.sequence))
            .count()
            > 0
        {
            self.probing.restore_health();
            self.probing.invalidate_targets();
        }
        let relays = &mut self.probing.relays;
        let done = relays.extract_if(.., |relay| matches(relay.target, relay.sequence));
        for relay in done.collect::<Vec<_>>() {
            self.answer_relay(&relay, true);
        }
    }

    /// Pings a member on behalf of another one.
    pub(super) fn handle_indirect_ping(
        &mut self,
        requester: SocketAddr,
        request: u32,
        target: NodeId,
    ) {
        let known = self
            .table
            .get(target)
            .is_some_and(|entry| entry.health != Health::Dead);
        if !known || target == self.own || self.probing.relays.len() >= MAX_RELAYS {
            return;
        }
        let sequence = self.probing.next_sequence();
        let started = self.now;
        let relay = Relay {
            target,
            sequence,
            requester,
            request,
            started,
            next_ping: started + PING_INTERVAL,
        };
        self.probing.relays.push(relay);
        self.send_to(target, Body::Ping { sequence });
    }

    fn continue_relays(&mut self) {
        let mut relays = std::mem::take(&mut self.probing.relays);
        for relay in &mut relays {
            if self.now >= relay.next_ping {
                relay.next_ping = self.now + PING_INTERVAL;
                self.send_to(
                    relay.target,
                    Body::Ping {
                        sequence: relay.sequence,
                    },
                );
            }
        }
        let failed = relays.extract_if(.., |relay| self.now >= relay.started + RELAY_TIMEOUT);
        let failed: Vec<_> = failed.collect();
        self.probing.relays = relays;
        for relay in failed {
            self.answer_relay(&relay, false);
        }
    }

    fn answer_relay(&mut self, relay: &Relay, reached: bool) {
        let (sequence, target) = (relay.request, relay.target);
        self.send(
            relay.requester,
            None,
            Body::IndirectAck {
                sequence,
                target,
                reached,
            },
        );
    }

    pub(super) fn handle_indirect_ack(&mut self, sequence: u32, target: NodeId, reached: bool) {
        let matches = |probe: &Probe| probe.target == target && probe.sequence == sequence;
        let probes = &mut self.probing.probes;
        if reached {
            probes.retain(|probe| !matches(probe));
        } else if let Some(probe) = probes.iter_mut().find(|probe| matches(probe)) {
            probe.replies += 1;
        }
    }
}
