//! Identifies the process that dialed a connection.

use std::collections::HashMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use parking_lot::Mutex;

use super::ProcessName;

/// The table of TCP sockets in procfs.
const TCP_TABLE_PATH: &str = "/proc/net/tcp";

/// Columns of the table: a socket's local address, its remote address and its inode.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// Most reads of the table per connection. A read can miss rows while other rows change.
const MAX_TABLE_READS: usize = 5;

/// The ids of the processes behind the proxy.
#[derive(Default)]
pub(super) struct Processes {
    ids: Mutex<HashMap<ProcessName, u32>>,
}

impl Processes {
    pub(super) fn set(&self, name: ProcessName, id: u32) {
        self.ids.lock().insert(name, id);
    }

    /// Returns the process that dialed the connection from `dialer` to `local`.
    pub(super) fn dialer(&self, dialer: SocketAddr, local: SocketAddr) -> Option<ProcessName> {
        let inode = (0..MAX_TABLE_READS).find_map(|_| socket_inode(dialer, local))?;
        let socket = format!("socket:[{inode}]");
        let ids = self.ids.lock().clone();
        ids.into_iter()
            .find(|(_, id)| has_socket(*id, Path::new(&socket)))
            .map(|(name, _)| name)
    }
}

/// Returns the inode of the socket with the given addresses. Both are compared, as sockets with
/// different remote addresses can share a local port.
fn socket_inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let local = table_address(local)?;
    let remote = table_address(remote)?;
    let table = fs::read_to_string(TCP_TABLE_PATH).ok()?;
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_match = columns.get(LOCAL_COLUMN) == Some(&local.as_str())
            && columns.get(REMOTE_COLUMN) == Some(&remote.as_str());
        is_match.then(|| columns.get(INODE_COLUMN).map(ToString::to_string))?
    })
}

/// Formats an address in the notation of the table.
fn table_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    // The table shows IP addresses as numbers in native byte order.
    let ip = u32::from_ne_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn has_socket(id: u32, socket: &Path) -> bool {
    let Ok(entries) = fs::read_dir(format!("/proc/{id}/fd")) else {
        return false;
    };
    entries
        .flatten()
        .any(|entry| fs::read_link(entry.path()).is_ok_and(|target| target == socket))
}
