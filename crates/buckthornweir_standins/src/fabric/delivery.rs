//! Delivery of the packets that arrive at the fabric to its callers.
//!
//! A dedicated thread only reads the socket, so that a burst doesn't overflow its buffer. Tasks
//! process the packets.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio_util::sync::CancellationToken;

use super::packet::{self, Target};
use super::shards::Shards;
use super::uplink::Uplink;

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Most packets in the queue of one task; further ones are dropped.
const MAX_QUEUED_PACKETS: usize = 16_384;
const TASKS: usize = 4;
/// Longest read, which bounds how long the thread takes to notice that the fabric has stopped.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// A packet with its target.
type Delivery = (Target, Vec<u8>);

/// Starts the thread and the tasks, which run until the token is cancelled.
pub(crate) fn start(
    socket: UdpSocket,
    shards: &Arc<Shards>,
    uplink: &Arc<Uplink>,
    token: &CancellationToken,
) -> io::Result<()> {
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut queues = Vec::new();
    for _ in 0..TASKS {
        let (sender, receiver) = channel(MAX_QUEUED_PACKETS);
        queues.push(sender);
        let deliver = deliver(receiver, shards.clone(), uplink.clone());
        tokio::spawn(token.clone().run_until_cancelled_owned(deliver));
    }
    let (uplink, token) = (uplink.clone(), token.clone());
    let thread = thread::Builder::new().name("fabric".into());
    thread.spawn(move || read(&socket, &queues, &uplink, &token))?;
    Ok(())
}

/// Reads packets until the token is cancelled. The packets of one caller go to one task, in order.
fn read(
    socket: &UdpSocket,
    queues: &[Sender<Delivery>],
    uplink: &Uplink,
    token: &CancellationToken,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    while !token.is_cancelled() {
        let Ok(len) = socket.recv(&mut buf) else {
            continue;
        };
        let Some(target) = packet::target(&buf[..len]) else {
            uplink.count_malformed();
            continue;
        };
        let queue = &queues[queue_of(target.to)];
        if queue.try_send((target, buf[..len].to_vec())).is_err() {
            uplink.count_dropped();
        }
    }
}

fn queue_of(caller: SocketAddr) -> usize {
    usize::from(caller.port()) % TASKS
}

async fn deliver(mut queue: Receiver<Delivery>, shards: Arc<Shards>, uplink: Arc<Uplink>) {
    while let Some((target, packet)) = queue.recv().await {
        match shards.get(target.to) {
            Some(connection) => connection.receive(&packet, target.reset),
            None => uplink.count_unknown(),
        }
    }
}
