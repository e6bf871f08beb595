//! A peer for the fabric: the sockets of several balancers in front of one smoltcp stack.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

const PORT: u16 = 80;
const SOCKETS: usize = 32;
const BUFFER_BYTES: usize = 8192;

/// How the peer behaves on each connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Echoes all bytes after the caller has closed its half of the connection, then closes.
    ///
    /// It doesn't echo earlier because smoltcp drops segments whose acknowledgement number is older
    /// than the latest. With data in both directions at once, reordered packets would have to wait
    /// for retransmissions.
    Echo,
    /// Sends this text when the caller's first bytes arrive, then closes.
    Send(&'static str),
    /// Resets the connection when the caller's first bytes arrive.
    Reset,
    /// Doesn't answer any packet.
    Unresponsive,
}

pub(crate) struct Peer {
    pub(crate) addrs: Vec<SocketAddr>,
    pub(crate) packet_counts: Arc<Vec<AtomicU64>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a peer with the given number of balancer sockets.
pub(crate) async fn start(behavior: Behavior, balancers: usize) -> Peer {
    let packet_counts: Arc<Vec<_>> = Arc::new((0..balancers).map(|_| AtomicU64::new(0)).collect());
    let stack = Arc::new(Mutex::new(PeerStack::new(behavior)));
    let (mut addrs, mut tasks) = (Vec::new(), Vec::new());
    for index in 0..balancers {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        addrs.push(socket.local_addr().unwrap());
        tasks.push(tokio::spawn(serve(
            socket,
            stack.clone(),
            packet_counts.clone(),
            index,
        )));
    }
    Peer {
        addrs,
        packet_counts,
        tasks,
    }
}

async fn serve(
    socket: UdpSocket,
    stack: Arc<Mutex<PeerStack>>,
    packet_counts: Arc<Vec<AtomicU64>>,
    index: usize,
) {
    let mut buf = vec![0; 65_536];
    let mut fabric = None;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buf) => {
                let (len, from) = received.unwrap();
                packet_counts[index].fetch_add(1, Ordering::Relaxed);
                fabric = Some(from);
                stack.lock().device.received.push_back(buf[..len].to_vec());
            }
            () = tokio::time::sleep(Duration::from_millis(5)) => {}
        }
        let Some(fabric) = fabric else { continue };
        let packets = stack.lock().poll();
        for packet in packets {
            socket.send_to(&packet, fabric).await.unwrap();
        }
    }
}

struct PeerStack {
    behavior: Behavior,
    epoch: Instant,
    iface: Interface,
    device: PacketQueues,
    sockets: SocketSet<'static>,
    /// The sockets, each with the bytes that it has received but not echoed yet.
    connections: Vec<(SocketHandle, Vec<u8>)>,
}

impl PeerStack {
    fn new(behavior: Behavior) -> Self {
        let mut device = PacketQueues::default();
        let config = Config::new(HardwareAddress::Ip);
        let mut iface = Interface::new(config, &mut device, smoltcp::time::Instant::ZERO);
        iface.update_ip_addrs(|addrs| {
            addrs.extend([
                IpCidr::new(IpAddress::v4(10, 100, 0, 1), 0),
                IpCidr::new(IpAddress::v6(0xfd00, 0, 0, 0, 0, 0, 0, 1), 0),
            ]);
        });
        let mut sockets = SocketSet::new(Vec::new());
        let connections = (0..SOCKETS)
            .map(|_| (sockets.add(listener()), Vec::new()))
            .collect();
        Self {
            behavior,
            epoch: Instant::now(),
            iface,
            device,
            sockets,
            connections,
        }
    }

    fn poll(&mut self) -> Vec<Vec<u8>> {
        if self.behavior == Behavior::Unresponsive {
            self.device.received.clear();
            return Vec::new();
        }
        let now = smoltcp::time::Instant::from_micros(self.epoch.elapsed().as_micros() as i64);
        self.iface.poll(now, &mut self.device, &mut self.sockets);
        for (handle, pending) in &mut self.connections {
            let socket = self.sockets.get_mut::<Socket<'_>>(*handle);
            handle_socket(self.behavior, socket, pending);
        }
        self.iface.poll(now, &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.ready)
    }
}

fn listener() -> Socket<'static> {
    let buffer = || SocketBuffer::new(vec![0; BUFFER_BYTES]);
    let mut socket = Socket::new(buffer(), buffer());
    socket.listen(PORT).unwrap();
    socket
}

fn handle_socket(behavior: Behavior, socket: &mut Socket<'static>, pending: &mut Vec<u8>) {
    match socket.state() {
        State::Closed => {
            pending.clear();
            socket.listen(PORT).unwrap();
        }
        _ if socket.can_recv() => handle_received(behavior, socket, pending),
        State::CloseWait => echo_pending(socket, pending),
        _ => {}
    }
}

fn handle_received(behavior: Behavior, socket: &mut Socket<'static>, pending: &mut Vec<u8>) {
    match behavior {
        Behavior::Reset => socket.abort(),
        Behavior::Send(text) => {
            socket.send_slice(text.as_bytes()).unwrap();
            socket.close();
        }
        Behavior::Echo | Behavior::Unresponsive => {
            let bytes = socket.recv(|bytes| (bytes.len(), bytes.to_vec()));
            pending.extend(bytes.unwrap());
        }
    }
}

/// Sends as many pending bytes as fit into the buffer, and closes after the last one.
fn echo_pending(socket: &mut Socket<'static>, pending: &mut Vec<u8>) {
    let sent = socket.send_slice(pending).unwrap();
    pending.drain(..sent);
    if pending.is_empty() {
        socket.close();
    }
}

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

    fn receive(&mut self, _: smoltcp::time::Instant) -> Option<(Received, Ready<'_>)> {
        let packet = self.received.pop_front()?;
        Some((Received(packet), Ready(&mut self.ready)))
    }

    fn transmit(&mut self, _: smoltcp::time::Instant) -> Option<Ready<'_>> {
        Some(Ready(&mut self.ready))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut caps = DeviceCapabilities::default();
        caps.medium = Medium::Ip;
        caps.max_transmission_unit = 1500;
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
