//! Loopback addresses for many processes: an IP number each, as each VM has.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The second number of 127.x.y.z begins here, clear of what others use.
const FIRST_NET: u32 = 64;
const NETS: u32 = 128;
/// Hosts that share the third number.
const ROW: u32 = 250;
/// Rows of one run.
const ROWS: u32 = 4;

/// Hands out IP numbers in 127.0.0.0/8; another process that does so at the same time hands out
/// others. Ports on them are not taken by the connections of the machine's own programs, so a
/// process that ends can be started again under the same address.
#[derive(Clone, Debug)]
pub struct Hosts {
    run: u32,
    next: u32,
}

impl Default for Hosts {
    fn default() -> Self {
        Self::new()
    }
}

impl Hosts {
    /// Returns the hosts of this process.
    #[must_use]
    pub fn new() -> Self {
        Self {
            run: std::process::id(),
            next: 0,
        }
    }

    /// Returns an IP number that was not returned before, up to a thousand of them.
    pub fn next_ip(&mut self) -> IpAddr {
        let (row, last) = (self.next / ROW % ROWS, self.next % ROW + 1);
        self.next += 1;
        let net = FIRST_NET + self.run % NETS;
        let third = (self.run / NETS * ROWS + row) % 256;
        Ipv4Addr::new(127, net as u8, third as u8, last as u8).into()
    }

    /// Returns an address on an IP number that was not returned before.
    pub fn next_addr(&mut self, port: u16) -> SocketAddr {
        SocketAddr::new(self.next_ip(), port)
    }
}
