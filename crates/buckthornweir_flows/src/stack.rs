//! The server side of one TCP flow.
//!
//! Each flow has its own stack with one socket. The stack does no I/O: packets from the caller are
//! passed to [`FlowStack::input`], which returns the packets that answer them, and
//! [`FlowStack::poll`] returns all other packets for the caller.

mod device;
mod limits;
mod resume;
mod rewrite;
mod track;

use std::net::{IpAddr, SocketAddr};
use std::task::Waker;
use std::time::Duration;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::socket::tcp::{RecvError, Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpListenEndpoint};

use crate::hash::{Purpose, flow_hash};
use crate::packet::PacketInfo;
use device::PacketDevice;
use track::SequenceTracker;

pub use limits::StackLimits;
use rewrite::{is_intact, with_window};
pub use rewrite::{shift_incoming, shift_outgoing};

/// Number of keep-alive intervals per idle timeout.
const PROBES_PER_IDLE: u32 = 4;

/// The result of a read from a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadState {
    /// This many bytes were read.
    Data(usize),
    /// No bytes are available yet.
    Empty,
    /// The caller has closed its side, and all bytes have been read.
    End,
    /// The flow was reset or has timed out.
    Reset,
}

/// The result of a write to a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteState {
    /// This many bytes were accepted.
    Accepted(usize),
    /// The send buffer is full, or the handshake isn't complete.
    Full,
    /// This side was closed, or the flow was reset.
    Closed,
}

/// The server side of one TCP flow.
///
/// Call `poll` after `input`, `read`, `write`, `close` and `abort`: it returns the packets for the
/// caller and the time of the next timer.
pub struct FlowStack {
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    deadline: Duration,
    started: bool,
    tracker: SequenceTracker,
    /// Offset from the stack's sequence numbers to those that the caller sees.
    shift: u32,
}

impl std::fmt::Debug for FlowStack {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let socket = self.sockets.get::<Socket<'_>>(self.handle);
        formatter
            .debug_struct("FlowStack")
            .field("state", &socket.state())
            .field("remote", &socket.remote_endpoint())
            .finish_non_exhaustive()
    }
}

impl FlowStack {
    /// Creates a stack that waits for the SYN described by `info`, which is passed to `input`.
    ///
    /// The initial sequence number is a keyed hash of the flow and the caller's sequence number, so
    /// all stacks with the same key answer a duplicated SYN with the same one.
    pub fn accept(info: &PacketInfo, key: &[u8; 16], limits: &StackLimits, now: Duration) -> Self {
        let seed = flow_hash(key, Purpose::Sequence, &info.tuple, info.seq);
        Self::listen(info.tuple.service, seed, limits, now)
    }

    fn listen(service: SocketAddr, seed: u64, limits: &StackLimits, now: Duration) -> Self {
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut unsent = Vec::new();
        let mut device = PacketDevice::new(None, &mut unsent);
        let mut iface = Interface::new(config, &mut device, instant(now));
        iface.update_ip_addrs(|addresses| {
            let any_address = IpCidr::new(ip_address(service.ip()), 0);
            // The address list of a new interface is empty, so the address always fits.
            let _ = addresses.push(any_address);
        });
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(listening_socket(service, limits));
        Self {
            iface,
            sockets,
            handle,
            deadline: now.saturating_add(limits.handshake),
            started: false,
            tracker: SequenceTracker::new(limits.receive),
            shift: 0,
        }
    }

    /// Handles a packet from the caller, and adds the packets that answer it to `out`.
    pub fn input(&mut self, packet: &[u8], now: Duration, out: &mut Vec<Vec<u8>>) {
        if self.started && !self.is_open() || !is_intact(packet) {
            return;
        }
        let Some(packet) = shift_incoming(packet, self.shift) else {
            return;
        };
        self.tracker.incoming(&packet);
        let lag = self.tracker.acknowledgement_lag(&packet);
        // An outdated acknowledgement number is harmless, but smoltcp drops the data of such a
        // packet.
        let Some(packet) = shift_incoming(&packet, lag.wrapping_neg()) else {
            return;
        };
        let window = self.tracker.offered_window(&packet);
        let packet = with_window(packet, window);
        self.run(Some(&packet), now, out);
        self.started = true;
    }

    /// Runs the timers, adds the packets for the caller to `out`, and returns the time of the next
    /// timer.
    pub fn poll(&mut self, now: Duration, out: &mut Vec<Vec<u8>>) -> Option<Duration> {
        if self.handshake_failed(now) {
            self.abort_silently();
            return None;
        }
        self.run(None, now, out);
        if !self.is_open() {
            return None;
        }
        let timer = self.iface.poll_at(instant(now), &self.sockets);
        let timer = timer.map(|at| Duration::from_micros(at.total_micros().max(0) as u64));
        if self.is_handshaking() {
            return Some(timer.map_or(self.deadline, |at| at.min(self.deadline)));
        }
        timer
    }

    /// Reads bytes from the caller.
    pub fn read(&mut self, buf: &mut [u8]) -> ReadState {
        if self.is_handshaking() {
            return ReadState::Empty;
        }
        match self.socket_mut().recv_slice(buf) {
            Ok(0) => ReadState::Empty,
            Ok(length) => ReadState::Data(length),
            Err(RecvError::Finished) => ReadState::End,
            Err(RecvError::InvalidState) => ReadState::Reset,
        }
    }

    /// Writes bytes for the caller.
    pub fn write(&mut self, data: &[u8]) -> WriteState {
        if self.is_handshaking() {
            return WriteState::Full;
        }
        match self.socket_mut().send_slice(data) {
            Ok(0) if !data.is_empty() => WriteState::Full,
            Ok(length) => WriteState::Accepted(length),
            Err(_) => WriteState::Closed,
        }
    }

    /// Closes this side after all written bytes.
    pub fn close(&mut self) {
        self.socket_mut().close();
    }

    /// Resets the flow.
    pub fn abort(&mut self) {
        self.socket_mut().abort();
    }

    /// Returns whether the handshake is complete and neither side has closed the flow.
    pub fn is_established(&self) -> bool {
        self.socket().state() == State::Established
    }

    /// Returns whether the flow still needs its stack.
    ///
    /// A flow in TIME-WAIT, which only waits for stray packets, doesn't.
    pub fn is_open(&self) -> bool {
        match self.socket().state() {
            State::Closed | State::TimeWait => false,
            State::Listen => !self.started,
            _ => true,
        }
    }

    /// Wakes `waker` once when bytes can be read or the flow has ended.
    pub fn register_reader(&mut self, waker: &Waker) {
        self.socket_mut().register_recv_waker(waker);
    }

    /// Wakes `waker` once when bytes can be written or the flow has ended.
    pub fn register_writer(&mut self, waker: &Waker) {
        self.socket_mut().register_send_waker(waker);
    }

    /// Returns the initial sequence number that the caller sees, once the SYN-ACK has been sent.
    pub fn initial_sequence(&self) -> Option<u32> {
        self.tracker.initial
    }

    fn is_handshaking(&self) -> bool {
        match self.socket().state() {
            State::SynReceived => true,
            State::Listen => !self.started,
            _ => false,
        }
    }

    fn handshake_failed(&self, now: Duration) -> bool {
        self.is_handshaking() && now >= self.deadline
    }

    /// Aborts a flow whose handshake failed without sending a packet, because the address of the
    /// caller may be forged.
    fn abort_silently(&mut self) {
        self.socket_mut().abort();
        self.run(None, Duration::ZERO, &mut Vec::new());
    }

    /// Processes a packet and the timers, and adds the packets that the stack sends to `out`.
    fn run(&mut self, packet: Option<&[u8]>, now: Duration, out: &mut Vec<Vec<u8>>) {
        let first = out.len();
        let mut device = PacketDevice::new(packet, out);
        self.iface
            .poll(instant(now), &mut device, &mut self.sockets);
        for packet in &mut out[first..] {
            self.tracker.outgoing(packet);
            shift_outgoing(packet, self.shift);
        }
    }

    fn socket(&self) -> &Socket<'static> {
        self.sockets.get(self.handle)
    }

    fn socket_mut(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }
}

fn listening_socket(service: SocketAddr, limits: &StackLimits) -> Socket<'static> {
    let receive = SocketBuffer::new(vec![0; limits.receive]);
    let send = SocketBuffer::new(vec![0; limits.send]);
    let mut socket = Socket::new(receive, send);
    socket.set_nagle_enabled(false);
    socket.set_timeout(Some(limits.idle.into()));
    socket.set_keep_alive(Some((limits.idle / PROBES_PER_IDLE).into()));
    let endpoint = IpListenEndpoint {
        addr: Some(ip_address(service.ip())),
        port: service.port(),
    };
    // A new socket can listen on any port but 0, and the packet parser rejects port 0.
    let _ = socket.listen(endpoint);
    socket
}

fn instant(now: Duration) -> Instant {
    Instant::from_micros(i64::try_from(now.as_micros()).unwrap_or(i64::MAX))
}

fn ip_address(address: IpAddr) -> IpAddress {
    address.into()
}
