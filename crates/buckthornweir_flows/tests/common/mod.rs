//! A caller with a TCP stack, and functions that build single packets.

#![allow(dead_code, reason = "each test binary uses some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a helper of a test may panic")]

pub(crate) mod mesh;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use buckthornweir_flows::prelude::*;
use etherparse::PacketBuilder;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{ChecksumCapabilities, Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpCidr};

pub(crate) const KEY: [u8; 16] = [7; 16];

pub(crate) fn tuple(caller_port: u16) -> FiveTuple {
    FiveTuple {
        caller: SocketAddr::from(([192, 0, 2, 1], caller_port)),
        service: SocketAddr::from(([198, 51, 100, 1], 80)),
    }
}

pub(crate) fn tuple_v6(caller_port: u16) -> FiveTuple {
    FiveTuple {
        caller: SocketAddr::new("2001:db8::1".parse().unwrap(), caller_port),
        service: SocketAddr::new("2001:db8::80".parse().unwrap(), 80),
    }
}

/// TCP flags of a packet built by [`packet`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Flags {
    pub(crate) syn: bool,
    pub(crate) ack: Option<u32>,
    pub(crate) fin: bool,
    pub(crate) rst: bool,
}

pub(crate) fn packet(tuple: &FiveTuple, flags: Flags, seq: u32, payload: &[u8]) -> Vec<u8> {
    let builder = match (tuple.caller.ip(), tuple.service.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), 64),
        (IpAddr::V6(from), IpAddr::V6(to)) => PacketBuilder::ipv6(from.octets(), to.octets(), 64),
        _ => panic!("endpoints of different IP versions"),
    };
    let mut builder = builder.tcp(tuple.caller.port(), tuple.service.port(), seq, 8_192);
    if flags.syn {
        builder = builder.syn();
    }
    if let Some(number) = flags.ack {
        builder = builder.ack(number);
    }
    if flags.fin {
        builder = builder.fin();
    }
    if flags.rst {
        builder = builder.rst();
    }
    let mut bytes = Vec::new();
    builder.write(&mut bytes, payload).unwrap();
    bytes
}

pub(crate) fn syn(tuple: &FiveTuple, seq: u32) -> Vec<u8> {
    let flags = Flags {
        syn: true,
        ..Flags::default()
    };
    packet(tuple, flags, seq, &[])
}

pub(crate) fn data(tuple: &FiveTuple, seq: u32, payload: &[u8]) -> Vec<u8> {
    let flags = Flags {
        ack: Some(1),
        ..Flags::default()
    };
    packet(tuple, flags, seq, payload)
}

pub(crate) fn info(packet: &[u8]) -> PacketInfo {
    parse(packet).unwrap()
}

/// A device with queues of received and sent packets.
#[derive(Default)]
pub(crate) struct QueueDevice {
    pub(crate) received: Vec<Vec<u8>>,
    pub(crate) sent: Vec<Vec<u8>>,
}

pub(crate) struct Received(Vec<u8>);
pub(crate) struct Sent<'a>(&'a mut Vec<Vec<u8>>);

impl RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

impl TxToken for Sent<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, write: F) -> R {
        let mut packet = vec![0; length];
        let result = write(&mut packet);
        self.0.push(packet);
        result
    }
}

impl Device for QueueDevice {
    type RxToken<'a> = Received;
    type TxToken<'a> = Sent<'a>;

    fn receive(&mut self, _: Instant) -> Option<(Received, Sent<'_>)> {
        if self.received.is_empty() {
            return None;
        }
        Some((Received(self.received.remove(0)), Sent(&mut self.sent)))
    }

    fn transmit(&mut self, _: Instant) -> Option<Sent<'_>> {
        Some(Sent(&mut self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = 1_500;
        capabilities.checksum = ChecksumCapabilities::default();
        capabilities
    }
}

/// The caller side of one flow.
pub(crate) struct Caller {
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    device: QueueDevice,
}

impl Caller {
    pub(crate) fn connect(tuple: &FiveTuple, seed: u64, buffer: usize) -> Self {
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut device = QueueDevice::default();
        let mut iface = Interface::new(config, &mut device, Instant::ZERO);
        iface.update_ip_addrs(|addresses| {
            addresses
                .push(IpCidr::new(tuple.caller.ip().into(), 0))
                .unwrap();
        });
        let mut socket = Socket::new(
            SocketBuffer::new(vec![0; buffer]),
            SocketBuffer::new(vec![0; buffer]),
        );
        socket.set_nagle_enabled(false);
        socket
            .connect(iface.context(), tuple.service, tuple.caller)
            .unwrap();
        let mut sockets = SocketSet::new(Vec::new());
        let handle = sockets.add(socket);
        Self {
            iface,
            sockets,
            handle,
            device,
        }
    }

    pub(crate) fn socket(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    pub(crate) fn state(&self) -> State {
        self.sockets.get::<Socket<'_>>(self.handle).state()
    }

    /// Processes packets from the server, and returns the packets that the caller sends.
    pub(crate) fn process(&mut self, now: Duration, packets: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
        self.device.received.extend(packets);
        let now = Instant::from_micros(now.as_micros() as i64);
        self.iface.poll(now, &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.sent)
    }

    pub(crate) fn read(&mut self) -> Vec<u8> {
        let mut bytes = vec![0; 1 << 16];
        let length = self.socket().recv_slice(&mut bytes).unwrap_or(0);
        bytes.truncate(length);
        bytes
    }
}

/// Exchanges packets between a caller and a server for `rounds` rounds.
pub(crate) fn exchange(
    caller: &mut Caller,
    server: &mut FlowStack,
    now: &mut Duration,
    rounds: usize,
) {
    let mut to_caller = Vec::new();
    for _ in 0..rounds {
        let to_server = caller.process(*now, std::mem::take(&mut to_caller));
        for packet in to_server {
            server.input(&packet, *now, &mut to_caller);
        }
        server.poll(*now, &mut to_caller);
        *now += Duration::from_millis(5);
    }
    caller.process(*now, to_caller);
}

/// Returns an established flow.
pub(crate) fn establish(
    tuple: &FiveTuple,
    buffer: usize,
    now: &mut Duration,
) -> (Caller, FlowStack) {
    let mut caller = Caller::connect(tuple, 1, buffer);
    let first = caller.process(*now, Vec::new());
    let limits = StackLimits::default();
    let mut server = FlowStack::accept(&info(&first[0]), &KEY, &limits, *now);
    let mut to_caller = Vec::new();
    server.input(&first[0], *now, &mut to_caller);
    let ack = caller.process(*now, to_caller);
    let mut rest = Vec::new();
    for packet in ack {
        server.input(&packet, *now, &mut rest);
    }
    assert!(server.is_established());
    (caller, server)
}
