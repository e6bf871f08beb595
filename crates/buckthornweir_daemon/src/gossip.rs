//! Membership over UDP. One thread receives; another one owns the membership core and sends.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::{Count, EventKind, Gauge};
use buckthornweir_members::{
    Action, Announcement, Config, Health, MemberState, Members, Message, NodeId, Record, Roles,
};
use buckthornweir_wire::{Body, open, seal};
use crossbeam::channel::{Receiver, Sender, bounded, select, tick};
use smol_str::{SmolStr, format_smolstr};
use tokio_util::sync::CancellationToken;

use crate::board::{Blackboard, Member};
use crate::fault::{DaemonError, Result};
use crate::pull::{Pull, PullSender};
use crate::settings::Settings;
use crate::threads::{READ_TIMEOUT, bind_udp, spawn};

/// How often the timers of the core are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of received messages that are queued for the core.
const MAX_PENDING: usize = 4_096;

/// The receive buffer; members send no larger datagrams.
const MAX_DATAGRAM_BYTES: usize = 2_048;

struct Inbound {
    from: SocketAddr,
    message: Message,
}

/// Starts membership. It runs until `stop` is cancelled, then announces that the process has left.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or a thread cannot be started.
pub(crate) fn start(
    board: &Arc<Blackboard>,
    pulls: PullSender,
    stop: &CancellationToken,
) -> Result<()> {
    let node = &board.settings.node;
    let socket = bind_udp("gossip", node.gossip.bind)?;
    let (sender, inbox) = bounded(MAX_PENDING);
    let reader = socket.try_clone().map_err(|source| DaemonError::Bind {
        what: "gossip",
        address: node.gossip.bind,
        source,
    })?;
    let reader_board = board.clone();
    let token = stop.clone();
    spawn("gossip-in", move || {
        receive(&reader_board, &reader, &sender, &token);
    })?;
    let core = Members::new(
        Config::default(),
        own_record(&board.settings, board),
        node.seeds.clone(),
        rand::random(),
    );
    let mut gossip = Gossip {
        board: board.clone(),
        socket,
        core,
        pulls,
    };
    let token = stop.clone();
    spawn("gossip", move || gossip.run(&inbox, &token))
}

struct Gossip {
    board: Arc<Blackboard>,
    socket: UdpSocket,
    core: Members,
    pulls: PullSender,
}

impl Gossip {
    fn run(&mut self, inbox: &Receiver<Inbound>, stop: &CancellationToken) {
        let ticks = tick(TICK_INTERVAL);
        while !stop.is_cancelled() {
            select! {
                recv(inbox) -> inbound => {
                    let Ok(Inbound { from, message }) = inbound else { break };
                    let actions = self.core.handle(self.board.now(), from, message);
                    self.execute(actions);
                }
                recv(ticks) -> _ => self.tick(),
            }
        }
        let actions = self.core.leave(self.board.now());
        self.execute(actions);
    }

    fn tick(&mut self) {
        self.announce();
        let actions = self.core.tick(self.board.now());
        self.execute(actions);
    }

    /// Announces the own state. The core ignores values that are already in the own record.
    fn announce(&mut self) {
        let own = self.board.own();
        let changes = [
            Announcement::Bundle(self.board.bundle_stamp()),
            Announcement::State(own.state),
            Announcement::Weight(own.weight),
            Announcement::Free(own.free),
        ];
        for change in changes {
            let actions = self.core.announce(self.board.now(), change);
            self.execute(actions);
        }
    }

    fn execute(&mut self, actions: Vec<Action>) {
        let mut changed = false;
        let mut pulls = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, &message),
                Action::Updated { node } => {
                    changed = true;
                    self.record_change(node);
                }
                Action::Removed { .. } => changed = true,
                Action::PullBundle { from, stamp } => pulls.push(Pull { from, stamp }),
                // The core synchronizes tables by digests within its byte budget.
                Action::FetchRoster { .. } => {}
                Action::Conflict { other, .. } => {
                    let state = format_smolstr!("same name at {other}");
                    self.record_state(self.board.settings.node.name.clone(), state);
                }
            }
        }
        if changed {
            self.publish();
        }
        // Pulls look members up on the blackboard, so they start after it is updated.
        for pull in pulls {
            self.pulls.pull(pull);
        }
    }

    fn record_change(&self, node: NodeId) {
        let Some((record, health)) = self.core.get(node) else {
            return;
        };
        let now = state_name(record.state, health);
        let before = self.board.member(node);
        let before = before.map(|m| state_name(m.record.state, m.health));
        if before != Some(now) {
            self.record_state(record.name.clone(), now.into());
        }
    }

    fn record_state(&self, member: SmolStr, state: SmolStr) {
        self.board
            .record(EventKind::MemberChanged { member, state });
    }

    fn publish(&self) {
        let members: Vec<Member> = self
            .core
            .iter()
            .map(|(record, health)| Member {
                record: record.clone(),
                health,
            })
            .collect();
        let alive = members.iter().filter(|m| m.health != Health::Dead).count();
        self.board.metrics.set(
            Gauge::MembersAlive,
            i64::try_from(alive).unwrap_or(i64::MAX),
        );
        self.board.set_members(members);
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let envelope = self.board.envelope(Body::Members(message.encode()));
        let datagram = seal(&self.board.settings.node.key, &envelope);
        let metrics = &self.board.metrics;
        metrics.count_by(Count::ControlBytesOut, datagram.len() as u64);
        if self.socket.send_to(&datagram, to).is_err() {
            metrics.count(Count::DatagramsUnsent);
        }
    }
}

/// Returns the displayed name for a member's state and health.
pub(crate) fn state_name(state: MemberState, health: Health) -> &'static str {
    match (health, state) {
        (_, MemberState::Left) => "left",
        (Health::Dead, _) => "dead",
        (Health::Suspect, _) => "suspect",
        (Health::Alive, MemberState::Cold) => "cold",
        (Health::Alive, MemberState::Ready) => "ready",
        (Health::Alive, MemberState::Draining) => "draining",
    }
}

/// Returns the displayed names of `roles`, separated by commas.
pub(crate) fn role_names(roles: Roles) -> String {
    let names = [
        (Roles::BALANCER, "balancer"),
        (Roles::AGENT, "agent"),
        (Roles::CONTROL, "control"),
    ];
    let held: Vec<&str> = names
        .iter()
        .filter(|(role, _)| roles.contains(*role))
        .map(|(_, name)| *name)
        .collect();
    held.join(",")
}

/// Returns the roles that are configured in the settings.
pub(crate) fn roles_of(settings: &Settings) -> Roles {
    let mut roles = Roles::NONE;
    if settings.balancer.is_some() {
        roles = roles | Roles::BALANCER;
    }
    if settings.agent.is_some() {
        roles = roles | Roles::AGENT;
    }
    if settings.control.is_some() {
        roles = roles | Roles::CONTROL;
    }
    roles
}

fn own_record(settings: &Settings, board: &Blackboard) -> Record {
    let node = &settings.node;
    let own = board.own();
    let service = settings.agent.as_ref().map_or("", |a| a.service.as_str());
    let incarnation = u64::try_from(board.wall().as_millis()).unwrap_or(1);
    let mut record = Record::new(board.id, &node.name, node.gossip.announced)
        .with_incarnation(incarnation)
        .with_roles(roles_of(settings))
        .with_domain(&node.domain)
        .with_service(service)
        .with_state(own.state)
        .with_weight(own.weight);
    record.flows = node.packets.announced;
    record.control = node.control.announced;
    record.bundle = board.bundle_stamp();
    record
}

fn receive(
    board: &Blackboard,
    socket: &UdpSocket,
    inbox: &Sender<Inbound>,
    stop: &CancellationToken,
) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    // The read timeout lets the loop notice cancellation.
    let _ = socket.set_read_timeout(Some(READ_TIMEOUT));
    while !stop.is_cancelled() {
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        board.metrics.count_by(Count::ControlBytesIn, length as u64);
        let Some(message) = read_message(board, &buffer[..length]) else {
            continue;
        };
        if inbox.send(Inbound { from, message }).is_err() {
            return;
        }
    }
}

fn read_message(board: &Blackboard, datagram: &[u8]) -> Option<Message> {
    let Ok(envelope) = open(&board.settings.node.key, datagram) else {
        board.metrics.count(Count::DatagramsForged);
        return None;
    };
    board.observe(&envelope);
    let decoded = match envelope.body {
        Some(Body::Members(bytes)) => Message::decode(&bytes).ok(),
        _ => None,
    };
    if decoded.is_none() {
        board.metrics.count(Count::DatagramsMalformed);
    }
    decoded
}
