//! The device that hands a flow's packets to its stack and takes those that the stack sends.

use smoltcp::phy::{Checksum, Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::time::Instant;

/// Largest IP packet that a stack sends, in bytes.
pub(crate) const MTU_BYTES: usize = 1_500;

/// Lends one received packet and a list of packets to send to a stack.
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
        // `FlowStack::input` takes intact segments only.
        capabilities.checksum.tcp = Checksum::Tx;
        capabilities
    }
}

/// The packet that a stack is about to read.
#[derive(Debug)]
pub(crate) struct Received<'a>(&'a [u8]);

impl RxToken for Received<'_> {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(self.0)
    }
}

/// The place for a packet that a stack is about to send.
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
