//! Sends messages and piggybacks changes within the byte budget.

use std::net::SocketAddr;
use std::time::Duration;

use super::Members;
use crate::messages::{Body, Header, Message, Rumour};
use crate::rumours::RumourBatch;
use crate::{Action, Health, NodeId};

/// The number of members that receive each push of changes.
const PUSH_COPIES: usize = 2;

/// The factor by which a flood extends the interval between two pushes.
const FLOOD_INTERVAL_FACTOR: u32 = 2;

/// The minimum byte budget for each copy of a push.
const MIN_PUSH_BYTES: usize = 300;

/// The number of members that a departing node informs.
const DEPARTURE_COPIES: usize = 8;

/// The number of other members in the answer to an introduction.
const INTRODUCED_MEMBERS: usize = 3;

/// The bytes available for rumours in a message while the byte budget is exhausted.
const MIN_RUMOUR_BYTES: usize = 64;

/// The maximum number of recent changes that an answer repeats.
const MAX_REPEATED: usize = 6;

/// The minimum byte budget for repeated changes.
const MIN_REPEAT_BYTES: usize = 2_000;

/// The minimum byte budget for full records of other members among the rumours.
const MIN_RECORD_BYTES: usize = 8_000;

/// The number of copies of each change beyond the binary logarithm of the number of members.
const EXTRA_COPIES: usize = 4;

impl Members {
    /// Handles the body of a message.
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
                versions,
            } => {
                self.handle_fetch(from, sequence, &buckets, &versions);
            }
            Body::Chunk { sequence, more } => self.handle_chunk(sequence, more),
        }
    }

    /// Sends the reply rumours that no response has carried, and requests for records.
    pub(super) fn send_replies(&mut self, from: SocketAddr) {
        if !self.reply_rumours.is_empty() {
            self.send(from, None, Body::Gossip);
        }
        let nodes = std::mem::take(&mut self.wanted);
        if !nodes.is_empty() && !self.has_left() {
            self.send_optional(from, Body::Want { nodes }, Vec::new());
        }
    }

    /// Sends a message to a member, with a rumour about the member if it is suspect or dead.
    pub(super) fn send_to(&mut self, node: NodeId, body: Body) {
        if let Some(to) = self.table.get(node).map(|entry| entry.record.gossip) {
            self.send(to, Some(node), body);
        }
    }

    /// Sends a message with the reply rumours, a rumour about the receiver if it is suspect or dead, and
    /// queued changes.
    pub(super) fn send(&mut self, to: SocketAddr, node: Option<NodeId>, body: Body) {
        let mut rumours = std::mem::take(&mut self.reply_rumours);
        let entry = node.and_then(|node| self.table.get(node));
        if let Some(entry) = entry.filter(|entry| entry.health != Health::Alive) {
            rumours.push(entry.rumour(false));
        }
        let mut message = self.message(body, rumours);
        let batch = self.take_rumours(&message, 1);
        message.rumours.extend(batch.rumours);
        message.deaths = batch.deaths;
        message.refutations = batch.refutations;
        self.transmit(to, message);
    }

    /// Sends a ping with this node's record to an address at which no member is known.
    pub(super) fn send_introduction(&mut self, to: SocketAddr) {
        let own = self.own_entry().rumour(true);
        let message = self.message(Body::Ping { sequence: 0 }, vec![own]);
        self.introductions.note_sent(to);
        self.transmit(to, message);
    }

    /// Adds some recent changes to the response to a ping if the sender's table differs, because the sender
    /// may have missed all copies of a change.
    pub(super) fn repeat_changes(&mut self, message: &Message) {
        let pings = matches!(message.body, Body::Ping { .. });
        let differs = message.header.table != self.table.digest();
        if !pings || !differs || self.budget.available() < MIN_REPEAT_BYTES {
            return;
        }
        let recent: Vec<_> = self.rumours.recent().iter().copied().collect();
        for _ in 0..MAX_REPEATED.min(recent.len()) {
            let node = self.choose(&recent);
            if let Some(entry) = node.and_then(|node| self.table.get(node)) {
                self.reply_rumours.push(entry.rumour(false));
            }
        }
    }

    /// Adds the records of this node and a few other members to the response to an introduction.
    pub(super) fn answer_introduction(&mut self, sender: NodeId) {
        let own = self.own_entry().rumour(true);
        let others = self.random_members(INTRODUCED_MEMBERS, Some(sender));
        let others = others.into_iter().filter_map(|node| self.table.get(node));
        let known: Vec<_> = others.map(|entry| entry.rumour(true)).collect();
        self.reply_rumours.push(own);
        self.reply_rumours.extend(known);
    }

    /// Sends a message if the byte budget allows it. Returns whether it was sent.
    pub(super) fn send_optional(
        &mut self,
        to: SocketAddr,
        body: Body,
        rumours: Vec<Rumour>,
    ) -> bool {
        let message = self.message(body, rumours);
        if message.encoded_len() + self.config.overhead > self.budget.available() {
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
        let (rumours, _) = self.fit(&Body::Gossip, rumours);
        if !rumours.is_empty() {
            self.send_optional(to, Body::Gossip, rumours);
        }
    }

    /// Returns the rumours that fit into one message, and whether all of them fit.
    pub(super) fn fit(&self, body: &Body, mut rumours: Vec<Rumour>) -> (Vec<Rumour>, bool) {
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

    /// Returns whether a change or the bundle stamp was pushed to fewer members than the fan-out.
    pub(super) fn has_unpushed(&self) -> bool {
        let fan_out = self.config.fan_out;
        self.rumours.has_unpushed(fan_out) || self.bundles.has_unpushed(fan_out)
    }

    /// Pushes changes to random members if a push is due.
    pub(super) fn push_changes(&mut self) {
        if !self.has_unpushed() || self.now < self.next_gossip || self.table.live().is_empty() {
            return;
        }
        if self.budget.available() < PUSH_COPIES * MIN_PUSH_BYTES {
            self.counters.over_budget += 1;
            return;
        }
        self.next_gossip = self.now + self.push_interval();
        self.push(PUSH_COPIES);
    }

    /// Returns the time between two pushes, which is longer during a flood so that each message carries more
    /// changes.
    fn push_interval(&self) -> Duration {
        let flood = if self.rumours.is_flood() {
            FLOOD_INTERVAL_FACTOR
        } else {
            1
        };
        self.config.gossip_interval * flood
    }

    /// Pushes the departure of this node to several members at once, and to the processes that have not
    /// answered its introduction.
    pub(super) fn push_departure(&mut self) {
        self.push(DEPARTURE_COPIES);
        let own = self.own_entry().rumour(true);
        let message = self.message(Body::Gossip, vec![own]);
        let unanswered: Vec<_> = self.introductions.unanswered().collect();
        for to in unanswered {
            self.transmit(to, message.clone());
        }
    }

    fn push(&mut self, copies: usize) {
        let peers = self.random_members(copies, None);
        let copies = peers.len().max(1);
        let mut message = self.message(Body::Gossip, Vec::new());
        let batch = self.take_rumours(&message, copies);
        self.rumours.count_push(&batch.nodes, copies);
        message.rumours = batch.rumours;
        message.deaths = batch.deaths;
        message.refutations = batch.refutations;
        self.bundles.count_push(copies);
        for peer in peers {
            if let Some(to) = self.table.get(peer).map(|entry| entry.record.gossip) {
                self.transmit(to, message.clone());
            }
        }
    }

    /// Takes the queued changes that fit into the message and into the budget for all its copies.
    fn take_rumours(&mut self, message: &Message, copies: usize) -> RumourBatch {
        if self.budget.available() < MIN_RECORD_BYTES {
            self.rumours.drop_records(self.own);
        }
        let affordable = self.budget.available() / copies;
        let affordable = affordable.saturating_sub(message.encoded_len() + self.config.overhead);
        let room = self.room(message).min(affordable.max(MIN_RUMOUR_BYTES));
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
        let bytes = message.encoded_len() + self.config.overhead;
        self.budget.spend(bytes);
        self.counters.sent_messages += 1;
        self.counters.sent_bytes += bytes as u64;
        self.actions.push(Action::Send { to, message });
    }
}
