//! A peer for the fabric: balancers' sockets in front of one smoltcp stack that echoes.

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
const BUFFER: usize = 8192;

/// What the peer does with a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peer {
    /// Sends all bytes back once the caller has closed its half, then closes.
    ///
    /// Not sooner: smoltcp drops data whose acknowledgement is older than the latest, so bytes
    /// that go both ways at once would wait for retransmissions when packets overtake each other.
    Echo,
    /// Sends these bytes at the caller's first byte, then closes.
    Say(&'static str),
    /// Resets each connection at its first byte.
    Reset,
    /// Answers no packet at all.
    Deaf,
}

pub(crate) struct EchoPeer {
    pub(crate) addrs: Vec<SocketAddr>,
    pub(crate) counts: Arc<Vec<AtomicU64>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for EchoPeer {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a peer with this many balancers' sockets.
pub(crate) async fn start(peer: Peer, balancers: usize) -> EchoPeer {
    let counts: Arc<Vec<_>> = Arc::new((0..balancers).map(|_| AtomicU64::new(0)).collect());
    let stack = Arc::new(Mutex::new(PeerStack::new(peer)));
    let (mut addrs, mut tasks) = (Vec::new(), Vec::new());
    for index in 0..balancers {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        addrs.push(socket.local_addr().unwrap());
        tasks.push(tokio::spawn(serve(
            socket,
            stack.clone(),
            counts.clone(),
            index,
        )));
    }
    EchoPeer {
        addrs,
        counts,
        tasks,
    }
}

async fn serve(
    socket: UdpSocket,
    stack: Arc<Mutex<PeerStack>>,
    counts: Arc<Vec<AtomicU64>>,
    index: usize,
) {
    let mut buf = vec![0; 65_536];
    let mut fabric = None;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buf) => {
                let (len, from) = received.unwrap();
                counts[index].fetch_add(1, Ordering::Relaxed);
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
    peer: Peer,
    epoch: Instant,
    iface: Interface,
    device: Queues,
    sockets: SocketSet<'static>,
    /// Sockets, with the bytes that each has received and not sent back.
    connections: Vec<(SocketHandle, Vec<u8>)>,
}

impl PeerStack {
    fn new(peer: Peer) -> Self {
        let mut device = Queues::default();
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
            peer,
            epoch: Instant::now(),
            iface,
            device,
            sockets,
            connections,
        }
    }

    fn poll(&mut self) -> Vec<Vec<u8>> {
        if self.peer == Peer::Deaf {
            self.device.received.clear();
            return Vec::new();
        }
        let now = smoltcp::time::Instant::from_micros(self.epoch.elapsed().as_micros() as i64);
        self.iface.poll(now, &mut self.device, &mut self.sockets);
        for (handle, held) in &mut self.connections {
            let socket = self.sockets.get_mut::<Socket<'_>>(*handle);
            act(self.peer, socket, held);
        }
        self.iface.poll(now, &mut self.device, &mut self.sockets);
        std::mem::take(&mut self.device.ready)
    }
}

fn listener() -> Socket<'static> {
    let buffer = || SocketBuffer::new(vec![0; BUFFER]);
    let mut socket = Socket::new(buffer(), buffer());
    socket.listen(PORT).unwrap();
    socket
}

fn act(peer: Peer, socket: &mut Socket<'static>, held: &mut Vec<u8>) {
    match socket.state() {
        State::Closed => {
            held.clear();
            socket.listen(PORT).unwrap();
        }
        _ if socket.can_recv() => act_on_bytes(peer, socket, held),
        State::CloseWait => give_back(socket, held),
        _ => {}
    }
}

fn act_on_bytes(peer: Peer, socket: &mut Socket<'static>, held: &mut Vec<u8>) {
    match peer {
        Peer::Reset => socket.abort(),
        Peer::Say(text) => {
            socket.send_slice(text.as_bytes()).unwrap();
            socket.close();
        }
        Peer::Echo | Peer::Deaf => {
            let bytes = socket.recv(|bytes| (bytes.len(), bytes.to_vec()));
            held.extend(bytes.unwrap());
        }
    }
}

/// Sends held bytes as there is room, and closes after the last.
fn give_back(socket: &mut Socket<'static>, held: &mut Vec<u8>) {
    let sent = socket.send_slice(held).unwrap();
    held.drain(..sent);
    if held.is_empty() {
        socket.close();
    }
}

#[derive(Default)]
struct Queues {
    received: VecDeque<Vec<u8>>,
    ready: Vec<Vec<u8>>,
}

struct Received(Vec<u8>);

struct Ready<'a>(&'a mut Vec<Vec<u8>>);

impl Device for Queues {
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
