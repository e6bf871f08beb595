//! The TCP stack of one caller's connection.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint};

use super::{Error, FabricConfig, Result};

/// Number of keep-alive probes per ACK timeout.
const KEEP_ALIVE_PROBES: u32 = 4;

/// Largest IP packet of a caller.
const MTU_BYTES: usize = 1500;

/// One smoltcp interface with one socket.
pub(crate) struct Stack {
    iface: Interface,
    device: PacketQueues,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    rng: ChaCha8Rng,
}

impl Stack {
    /// Sets up a stack whose first poll sends the SYN.
    pub(crate) fn connect(
        local: SocketAddr,
        service: SocketAddr,
        number: u64,
        config: &FabricConfig,
        now: Duration,
    ) -> Result<Self> {
        let seed = config.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut device = PacketQueues::default();
        let mut settings = Config::new(HardwareAddress::Ip);
        settings.random_seed = rng.random();
        let mut iface = Interface::new(settings, &mut device, instant(now));
        // A zero prefix makes every address reachable without a route.
        let cidr = IpCidr::new(IpAddress::from(local.ip()), 0);
        iface.update_ip_addrs(|addrs| addrs.extend([cidr]));
        let mut socket = Socket::new(buffer(config.buffer), buffer(config.buffer));
        socket.set_timeout(Some(config.ack_timeout.into()));
        // The timeout applies to any silence of the peer, so keep-alive probes must keep an idle
        // connection open as long as the peer answers.
        socket.set_keep_alive(Some((config.ack_timeout / KEEP_ALIVE_PROBES).into()));
        socket.set_nagle_enabled(false);
        socket
            .connect(
                iface.context(),
                IpEndpoint::from(service),
                IpEndpoint::from(local),
            )
            .map_err(|_| Error::Stack)?;
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Ok(Self {
            iface,
            device,
            sockets,
            handle,
            rng,
        })
    }

    pub(crate) fn socket(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    pub(crate) fn rng(&mut self) -> &mut ChaCha8Rng {
        &mut self.rng
    }

    pub(crate) fn receive(&mut self, packet: &[u8]) {
        self.device.received.push_back(packet.to_vec());
    }

    /// Processes received packets and expired timers, and returns the packets to send.
    pub(crate) fn poll(&mut self, now: Duration) -> Vec<Vec<u8>> {
        self.iface
            .poll(instant(now), &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.ready)
    }

    /// Returns when the stack must be polled next.
    pub(crate) fn due(&mut self, now: Duration) -> Option<Duration> {
        let delay = self.iface.poll_delay(instant(now), &self.sockets)?;
        Some(now + Duration::from(delay))
    }

    /// Returns whether the connection is closed, with nothing left to send or to wait for.
    pub(crate) fn is_finished(&mut self) -> bool {
        matches!(self.socket().state(), State::Closed)
    }
}

fn buffer(bytes: usize) -> SocketBuffer<'static> {
    SocketBuffer::new(vec![0; bytes])
}

fn instant(now: Duration) -> Instant {
    Instant::from_micros(now.as_micros() as i64)
}

/// The device of a stack: queues of received packets and of packets to send.
#[derive(Default)]
struct PacketQueues {
    received: VecDeque<Vec<u8>>,
    ready: Vec<Vec<u8>>,
}

struct Received(Vec<u8>);

struct Ready<'a>(&'a mut Vec<Vec<u8>>);

impl Device for PacketQueues {
    type RxToken<'a> = Received;
    type TxToken<'a> = Ready<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Received, Ready<'_>)> {
        let packet = self.received.pop_front()?;
        Some((Received(packet), Ready(&mut self.ready)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Ready<'_>> {
        Some(Ready(&mut self.ready))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut caps = DeviceCapabilities::default();
        caps.medium = Medium::Ip;
        caps.max_transmission_unit = MTU_BYTES;
        caps
    }
}

impl RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl TxToken for Ready<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push(packet);
        result
    }
}
