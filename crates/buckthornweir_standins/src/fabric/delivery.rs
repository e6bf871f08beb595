//! Gives the packets that arrive at the fabric to its callers.
//!
//! One thread only empties the socket, so that a burst doesn't overflow it; tasks do the rest.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio_util::sync::CancellationToken;

use super::packet::{self, Target};
use super::shards::Shards;
use super::uplink::Outlet;

/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 65_536;
/// Packets that wait for one task; more are dropped.
const QUEUE_LIMIT: usize = 16_384;
const TASKS: usize = 4;
/// How long the thread may take to notice that the fabric has ended.
const READ_LIMIT: Duration = Duration::from_millis(100);

/// A packet with its target.
type Delivery = (Target, Vec<u8>);

/// Starts the thread and the tasks; they end with the token.
pub(crate) fn start(
    socket: UdpSocket,
    shards: &Arc<Shards>,
    outlet: &Arc<Outlet>,
    token: &CancellationToken,
) -> io::Result<()> {
    socket.set_read_timeout(Some(READ_LIMIT))?;
    let mut queues = Vec::new();
    for _ in 0..TASKS {
        let (sender, receiver) = channel(QUEUE_LIMIT);
        queues.push(sender);
        let deliver = deliver(receiver, shards.clone(), outlet.clone());
        tokio::spawn(token.clone().run_until_cancelled_owned(deliver));
    }
    let (outlet, token) = (outlet.clone(), token.clone());
    let thread = thread::Builder::new().name("fabric".into());
    thread.spawn(move || read(&socket, &queues, &outlet, &token))?;
    Ok(())
}

/// Reads packets until the token ends; those of one caller go to one task, in order.
fn read(
    socket: &UdpSocket,
    queues: &[Sender<Delivery>],
    outlet: &Outlet,
    token: &CancellationToken,
) {
    let mut buf = vec![0; DATAGRAM_LIMIT];
    while !token.is_cancelled() {
        let Ok(len) = socket.recv(&mut buf) else {
            continue;
        };
        let Some(target) = packet::target(&buf[..len]) else {
            outlet.count_malformed();
            continue;
        };
        let queue = &queues[queue_of(target.to)];
        if queue.try_send((target, buf[..len].to_vec())).is_err() {
            outlet.count_dropped();
        }
    }
}

fn queue_of(caller: SocketAddr) -> usize {
    usize::from(caller.port()) % TASKS
}

async fn deliver(mut queue: Receiver<Delivery>, shards: Arc<Shards>, outlet: Arc<Outlet>) {
    while let Some((target, packet)) = queue.recv().await {
        match shards.get(target.to) {
            Some(connection) => connection.receive(&packet, target.reset),
            None => outlet.count_unknown(),
        }
    }
}
