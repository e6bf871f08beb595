//! Loopback addresses: each process has an IP number of its own, as each VM has.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const GOSSIP: u16 = 7000;
const PACKETS: u16 = 7001;
const CONTROL: u16 = 7002;
const METRICS: u16 = 7003;
const FABRIC: u16 = 7004;
const BACKEND: u16 = 8080;
/// The second number of 127.x.y.z begins here, clear of what others use.
const FIRST_NET: u32 = 64;

/// The addresses of one run; another run at the same time has others.
pub(crate) struct Addresses {
    net: [u8; 2],
    last: u8,
}

/// The addresses of one VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Host(IpAddr);

impl Addresses {
    pub(crate) fn new() -> Self {
        let id = std::process::id();
        Self {
            net: [(FIRST_NET + id % 64) as u8, (id / 64 % 256) as u8],
            last: 1,
        }
    }

    /// Returns the address of the fabric.
    pub(crate) fn fabric(&self) -> SocketAddr {
        self.host(1).fabric()
    }

    /// Returns a VM that was not returned before.
    pub(crate) fn next_host(&mut self) -> Host {
        self.last += 1;
        self.host(self.last)
    }

    fn host(&self, last: u8) -> Host {
        Host(Ipv4Addr::new(127, self.net[0], self.net[1], last).into())
    }
}

impl Host {
    pub(crate) fn gossip(self) -> SocketAddr {
        SocketAddr::new(self.0, GOSSIP)
    }

    pub(crate) fn packets(self) -> SocketAddr {
        SocketAddr::new(self.0, PACKETS)
    }

    pub(crate) fn control(self) -> SocketAddr {
        SocketAddr::new(self.0, CONTROL)
    }

    pub(crate) fn metrics(self) -> SocketAddr {
        SocketAddr::new(self.0, METRICS)
    }

    pub(crate) fn fabric(self) -> SocketAddr {
        SocketAddr::new(self.0, FABRIC)
    }

    pub(crate) fn backend(self) -> SocketAddr {
        SocketAddr::new(self.0, BACKEND)
    }
}
