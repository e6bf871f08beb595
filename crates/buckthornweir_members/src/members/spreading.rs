//! Sends messages and spreads changes within the byte budget.

use std::net::SocketAddr;
use std::time::Duration;

use super::Members;
use crate::messages::{Body, Header, Message, Rumour};
use crate::rumours::Taken;
use crate::{Action, Health, NodeId};

/// How many members are sent each round of fresh changes.
const PUSH_COPIES: usize = 2;

/// How many times longer than usual the rounds of fresh changes are apart in a flood.
const FLOOD_PAUSE: u32 = 2;

/// The bytes that the budget must hold for each copy of a round of fresh changes.
const LEAST_PUSH: usize = 300;

/// How many members a leaving node tells.
const FAREWELLS: usize = 8;

/// How many other members a process learns of when it greets a seed.
const WELCOMED: usize = 3;

/// The bytes that rumours may fill in a message that is sent while the byte budget is used up.
const LEAST_ROOM: usize = 64;

/// How many of the last changes an answer repeats.
const REPEATED: usize = 6;

/// The bytes that the budget must hold for repeated changes.
const REPEAT_BYTES: usize = 2_000;

/// The bytes that the budget must hold for full records of other members among the rumours.
const RECORD_BYTES: usize = 8_000;

/// The copies of each change that ride on messages beyond the logarithm of the members.
const EXTRA_COPIES: usize = 4;

impl Members {
    /// Answers what a message asks for.
    pub(super) fn handle_body(&mut self, from: SocketAddr, sender: NodeId, body: Body) {
        match body {
            Body::Ping { sequence } => self.send(from, Some(sender), Body::Ack { sequence }),
            Body::Ack { sequence } => self.handle_ack(sender, sequence),
            Body::IndirectPing { sequence, target } => {
                self.handle_indirect_ping(from, sequence, target);
            }
            Body::IndirectAck {
                sequence,
                target,
                reached,
            } => {
                self.handle_indirect_ack(sequence, target, reached);
            }
            Body::Gossip => {}
            Body::Want { nodes } => self.send_records(from, &nodes),
            Body::Digest { buckets } => self.handle_digest(from, &buckets),
            Body::Differ { buckets } => self.handle_differ(sender, &buckets),
            Body::Fetch {
                sequence,
                buckets,
                held,
            } => {
                self.handle_fetch(from, sequence, &buckets, &held);
            }
            Body::Chunk { sequence, more } => self.handle_chunk(sequence, more),
        }
    }

    /// Sends what the answer to a message has left over: remarks and requests for records.
    pub(super) fn answer_rest(&mut self, from: SocketAddr) {
        if !self.remarks.is_empty() {
            self.send(from, None, Body::Gossip);
        }
        let nodes = std::mem::take(&mut self.wanted);
        if !nodes.is_empty() && !self.has_left() {
            self.send_optional(from, Body::Want { nodes }, Vec::new());
        }
    }

    /// Sends a message to a member, together with any doubt about that member.
    pub(super) fn send_to(&mut self, node: NodeId, body: Body) {
        if let Some(to) = self.table.get(node).map(|entry| entry.record.gossip) {
            self.send(to, Some(node), body);
        }
    }

    /// Sends a message with any doubt about its receiver, the remarks at hand, and what is queued.
    pub(super) fn send(&mut self, to: SocketAddr, node: Option<NodeId>, body: Body) {
        let mut rumours = std::mem::take(&mut self.remarks);
        let entry = node.and_then(|node| self.table.get(node));
        if let Some(entry) = entry.filter(|entry| entry.health != Health::Alive) {
            rumours.push(entry.rumour(false));
        }
        let mut message = self.message(body, rumours);
        let queued = self.take_rumours(&message, 1);
        message.rumours.extend(queued.rumours);
        message.deaths = queued.deaths;
        message.refutations = queued.refutations;
        self.transmit(to, message);
    }

    /// Sends a ping with the own record to an address at which no member is known.
    pub(super) fn greet(&mut self, to: SocketAddr) {
        let own = self.own_entry().rumour(true);
        let message = self.message(Body::Ping { sequence: 0 }, vec![own]);
        self.transmit(to, message);
    }

    /// Lets the answer to a ping repeat some of the last changes when the sender's table differs,
    /// because all copies of a change may have missed it.
    pub(super) fn repeat_changes(&mut self, message: &Message) {
        let pings = matches!(message.body, Body::Ping { .. });
        let differs = message.header.table != self.table.digest();
        if !pings || !differs || self.budget.available() < REPEAT_BYTES {
            return;
        }
        let recent: Vec<_> = self.rumours.recent().iter().copied().collect();
        for _ in 0..REPEATED.min(recent.len()) {
            let node = self.choose(&recent);
            if let Some(entry) = node.and_then(|node| self.table.get(node)) {
                self.remarks.push(entry.rumour(false));
            }
        }
    }

    /// Lets the answer to a greeting name this node and a few other members.
    pub(super) fn welcome(&mut self, sender: NodeId) {
        let own = self.own_entry().rumour(true);
        let others = self.random_members(WELCOMED, Some(sender));
        let others = others.into_iter().filter_map(|node| self.table.get(node));
        let known: Vec<_> = others.map(|entry| entry.rumour(true)).collect();
        self.remarks.push(own);
        self.remarks.extend(known);
    }

    /// Sends a message unless the byte budget is used up. Returns whether it was sent.
    pub(super) fn send_optional(
        &mut self,
        to: SocketAddr,
        body: Body,
        rumours: Vec<Rumour>,
    ) -> bool {
        let message = self.message(body, rumours);
        if message.encoded_len() + self.config.envelope > self.budget.available() {
            self.counters.over_budget += 1;
            return false;
        }
        self.transmit(to, message);
        true
    }

    /// Sends full records, as many as fit into one message.
    fn send_records(&mut self, to: SocketAddr, nodes: &[NodeId]) {
        let entries = nodes.iter().filter_map(|&node| self.table.get(node));
        let rumours: Vec<_> = entries.map(|entry| entry.rumour(true)).collect();
        let (rumours, _) = self.cut(&Body::Gossip, rumours);
        if !rumours.is_empty() {
            self.send_optional(to, Body::Gossip, rumours);
        }
    }

    /// Returns the rumours that fit into one message, and whether that is all of them.
    pub(super) fn cut(&self, body: &Body, mut rumours: Vec<Rumour>) -> (Vec<Rumour>, bool) {
        let mut room = self.room(&self.message(body.clone(), Vec::new()));
        let fits = |rumour: &Rumour| {
            let length = rumour.encoded_len();
            let fits = length <= room;
            room = room.saturating_sub(length);
            fits
        };
        let count = rumours.iter().map(fits).take_while(|fits| *fits).count();
        let all = count == rumours.len();
        rumours.truncate(count);
        (rumours, all)
    }

    /// Returns whether a change has not yet been sent to as many members at once as it is due.
    pub(super) fn has_fresh(&self) -> bool {
        let fan_out = self.config.fan_out;
        self.rumours.is_fresh(fan_out) || self.bundles.is_fresh(fan_out)
    }

    /// Sends fresh changes to random members at once.
    pub(super) fn push_fresh(&mut self) {
        if !self.has_fresh() || self.now < self.next_gossip || self.table.live().is_empty() {
            return;
        }
        if self.budget.available() < PUSH_COPIES * LEAST_PUSH {
            self.counters.over_budget += 1;
            return;
        }
        self.next_gossip = self.now + self.push_interval();
        self.push(PUSH_COPIES);
    }

    /// Returns the time between two rounds of fresh changes, which is longer in a flood so that each
    /// message carries more.
    fn push_interval(&self) -> Duration {
        let flood = if self.rumours.is_flood() {
            FLOOD_PAUSE
        } else {
            1
        };
        self.config.gossip_interval * flood
    }

    /// Tells several members at once that this node leaves.
    pub(super) fn push_farewell(&mut self) {
        self.push(FAREWELLS);
    }

    fn push(&mut self, copies: usize) {
        let peers = self.random_members(copies, None);
        let copies = peers.len().max(1);
        let mut message = self.message(Body::Gossip, Vec::new());
        let taken = self.take_rumours(&message, copies);
        self.rumours.count_push(&taken.nodes, copies);
        message.rumours = taken.rumours;
        message.deaths = taken.deaths;
        message.refutations = taken.refutations;
        self.bundles.count_push(copies);
        for peer in peers {
            if let Some(to) = self.table.get(peer).map(|entry| entry.record.gossip) {
                self.transmit(to, message.clone());
            }
        }
    }

    /// Takes the queued rumours that fit into a message and the budget of all its copies.
    fn take_rumours(&mut self, message: &Message, copies: usize) -> Taken {
        if self.budget.available() < RECORD_BYTES {
            self.rumours.drop_records(self.own);
        }
        let affordable = self.budget.available() / copies;
        let affordable = affordable.saturating_sub(message.encoded_len() + self.config.envelope);
        let room = self.room(message).min(affordable.max(LEAST_ROOM));
        let members = self.table.live().len() + 1;
        let limit = EXTRA_COPIES + members.ilog2() as usize;
        self.rumours.take(&self.table, room, copies, limit)
    }

    pub(super) fn room(&self, message: &Message) -> usize {
        self.config
            .message_size()
            .saturating_sub(message.encoded_len())
    }

    pub(super) fn message(&self, body: Body, rumours: Vec<Rumour>) -> Message {
        Message {
            header: self.header(),
            rumours,
            deaths: Vec::new(),
            refutations: Vec::new(),
            body,
        }
    }

    fn header(&self) -> Header {
        let record = self.own();
        Header {
            node: self.own,
            instance: self.instance,
            incarnation: record.incarnation,
            state: record.state,
            weight: record.weight,
            free: record.free,
            bundle: record.bundle,
            table: self.table.digest(),
        }
    }

    pub(super) fn transmit(&mut self, to: SocketAddr, message: Message) {
        let bytes = message.encoded_len() + self.config.envelope;
        self.budget.spend(bytes);
        self.counters.sent_messages += 1;
        self.counters.sent_bytes += bytes as u64;
        self.actions.push(Action::Send { to, message });
    }
}
