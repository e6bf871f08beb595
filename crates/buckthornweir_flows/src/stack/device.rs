//! The network device of a flow's stack.

use smoltcp::phy::{Checksum, Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Largest IP packet that a stack sends, in bytes.
pub(crate) const MTU_BYTES: usize = 1_500;

/// A device that provides one received packet, and collects the packets that the stack sends.
#[derive(Debug)]
pub(crate) struct PacketDevice<'p> {
    received: Option<&'p [u8]>,
    sent: &'p mut Vec<Vec<u8>>,
}

impl<'p> PacketDevice<'p> {
    pub(crate) fn new(received: Option<&'p [u8]>, sent: &'p mut Vec<Vec<u8>>) -> Self {
        Self { received, sent }
    }
}

impl Device for PacketDevice<'_> {
    type RxToken<'a>
        = Received<'a>
    where
        Self: 'a;
    type TxToken<'a>
        = Sent<'a>
    where
        Self: 'a;

    fn receive(&mut self, _: Instant) -> Option<(Received<'_>, Sent<'_>)> {
        let packet = self.received.take()?;
        Some((Received(packet), Sent(self.sent)))
    }

    fn transmit(&mut self, _: Instant) -> Option<Sent<'_>> {
        Some(Sent(self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        // `FlowStack::input` verifies TCP checksums.
        capabilities.checksum.tcp = Checksum::Tx;
        capabilities
    }
}

/// Token to read the received packet.
#[derive(Debug)]
pub(crate) struct Received<'a>(&'a [u8]);

impl RxToken for Received<'_> {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(self.0)
    }
}

/// Token to send a packet.
#[derive(Debug)]
pub(crate) struct Sent<'a>(&'a mut Vec<Vec<u8>>);

impl TxToken for Sent<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, write: F) -> R {
        let mut packet = vec![0; length];
        let result = write(&mut packet);
        self.0.push(packet);
        result
    }
}
