//! Finds the process that dialed a connection.

use std::collections::HashMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use parking_lot::Mutex;

use super::ProcessName;

/// The system's table of connections.
const TABLE: &str = "/proc/net/tcp";

/// Where the table has the addresses of a socket's own end and of the other, and its inode.
const OWN_COLUMN: usize = 1;
const OTHER_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// How often the table is read for one connection: a reading misses rows when others change.
const READINGS: usize = 5;

/// The processes on a wire.
#[derive(Default)]
pub(super) struct Processes {
    ids: Mutex<HashMap<ProcessName, u32>>,
}

impl Processes {
    pub(super) fn set(&self, name: ProcessName, id: u32) {
        self.ids.lock().insert(name, id);
    }

    /// Returns the process that dialed the connection between `dialer` and `entry`.
    pub(super) fn dialer(&self, dialer: SocketAddr, entry: SocketAddr) -> Option<ProcessName> {
        let inode = (0..READINGS).find_map(|_| inode(dialer, entry))?;
        let socket = format!("socket:[{inode}]");
        let ids = self.ids.lock().clone();
        ids.into_iter()
            .find(|(_, id)| holds(*id, Path::new(&socket)))
            .map(|(name, _)| name)
    }
}

/// Returns the inode of the socket at `own` that is connected to `other`. Ports are shared by
/// sockets with different other ends.
fn inode(own: SocketAddr, other: SocketAddr) -> Option<String> {
    let own = in_table(own)?;
    let other = in_table(other)?;
    let table = fs::read_to_string(TABLE).ok()?;
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_it = columns.get(OWN_COLUMN) == Some(&own.as_str())
            && columns.get(OTHER_COLUMN) == Some(&other.as_str());
        is_it.then(|| columns.get(INODE_COLUMN).map(ToString::to_string))?
    })
}

/// Returns an address as the table has it.
fn in_table(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    // The table has addresses as numbers in the machine's order of bytes.
    let ip = u32::from_ne_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn holds(id: u32, socket: &Path) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{id}/fd")) else {
        return false;
    };
    entries
        .flatten()
        .any(|entry| fs::read_link(entry.path()).is_ok_and(|to| to == socket))
}
