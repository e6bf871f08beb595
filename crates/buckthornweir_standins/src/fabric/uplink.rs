//! Sends packets to randomly chosen balancers, injects the fabric's faults and counts packets.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::RwLock;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::FabricConfig;

/// Packet counters of the fabric.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FabricCounters {
    /// Packets sent to balancers, duplicates included.
    pub sent: u64,
    /// Packets received and delivered to a caller.
    pub received: u64,
    /// Packets dropped by injected loss, by a failed send, for lack of balancers or by a full queue.
    pub dropped: u64,
    /// Packets received for a caller that doesn't exist any more.
    pub unknown: u64,
    /// Datagrams received that contain no TCP packet.
    pub malformed: u64,
}

/// The sending side of the fabric, towards the balancers.
pub(crate) struct Uplink {
    socket: UdpSocket,
    balancers: RwLock<Arc<[SocketAddr]>>,
    loss: AtomicU64,
    duplicates: f64,
    sent: AtomicU64,
    received: AtomicU64,
    dropped: AtomicU64,
    unknown: AtomicU64,
    malformed: AtomicU64,
}

impl Uplink {
    pub(crate) fn new(socket: UdpSocket, config: &FabricConfig) -> Self {
        Self {
            socket,
            balancers: RwLock::new(config.balancers.clone().into()),
            loss: AtomicU64::new(config.loss.to_bits()),
            duplicates: config.duplicates,
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            malformed: AtomicU64::new(0),
        }
    }

    pub(crate) fn set_balancers(&self, balancers: Vec<SocketAddr>) {
        *self.balancers.write() = balancers.into();
    }

    pub(crate) fn set_loss(&self, loss: f64) {
        self.loss
            .store(loss.clamp(0.0, 1.0).to_bits(), Ordering::Relaxed);
    }

    /// Sends a packet to a randomly chosen balancer, with the configured loss and duplicates.
    pub(crate) fn send(&self, packet: &[u8], rng: &mut ChaCha8Rng) {
        if self.drops_packet(rng) {
            return;
        }
        self.send_once(packet, rng);
        if rng.random_bool(self.duplicates) {
            self.send_once(packet, rng);
        }
    }

    /// Decides whether the next packet is dropped, and counts it if so.
    pub(crate) fn drops_packet(&self, rng: &mut ChaCha8Rng) -> bool {
        let loss = f64::from_bits(self.loss.load(Ordering::Relaxed));
        let is_dropped = rng.random_bool(loss);
        if is_dropped {
            increment(&self.dropped);
        }
        is_dropped
    }

    pub(crate) fn count_received(&self) {
        increment(&self.received);
    }

    pub(crate) fn count_dropped(&self) {
        increment(&self.dropped);
    }

    pub(crate) fn count_unknown(&self) {
        increment(&self.unknown);
    }

    pub(crate) fn count_malformed(&self) {
        increment(&self.malformed);
    }

    pub(crate) fn counters(&self) -> FabricCounters {
        FabricCounters {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
            unknown: self.unknown.load(Ordering::Relaxed),
            malformed: self.malformed.load(Ordering::Relaxed),
        }
    }

    fn send_once(&self, packet: &[u8], rng: &mut ChaCha8Rng) {
        let balancers = self.balancers.read().clone();
        if balancers.is_empty() {
            increment(&self.dropped);
            return;
        }
        let balancer = balancers[rng.random_range(0..balancers.len())];
        match self.socket.send_to(packet, balancer) {
            Ok(_) => increment(&self.sent),
            Err(_) => increment(&self.dropped),
        }
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
