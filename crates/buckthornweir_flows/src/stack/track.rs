//! Tracks the sequence numbers and windows of a flow, to determine whether the flow is quiet and to
//! correct reordered packets.

use etherparse::{IpSlice, TcpOptionElement, TcpSlice};

/// Largest window scale (RFC 7323, 2.3); larger ones are clamped to it.
const MAX_SCALE: u8 = 14;

/// Options of the caller's SYN.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct SynOptions {
    /// Maximum segment size in bytes.
    pub(super) segment: Option<u16>,
    /// Window scale.
    pub(super) scale: Option<u8>,
    /// Whether selective acknowledgements are permitted.
    pub(super) sack: bool,
}

/// The sequence numbers of a flow, as seen by the stack.
#[derive(Clone, Copy, Debug)]
pub(super) struct SequenceTracker {
    /// Initial sequence number towards the caller.
    pub(super) initial: Option<u32>,
    /// Options of the caller's SYN.
    pub(super) options: SynOptions,
    /// Window field of the caller's last packet.
    pub(super) window: u16,
    /// Next sequence number towards the caller (SND.NXT).
    pub(super) sent: u32,
    /// Next sequence number from the caller, as last acknowledged to it (RCV.NXT).
    pub(super) acknowledged: u32,
    /// Size of the receive buffer in bytes.
    pub(super) receive: usize,
    /// Highest end of a segment from the caller.
    received: u32,
    /// Highest acknowledgement number from the caller (SND.UNA), once there is one.
    confirmed: Option<u32>,
    /// Highest right edge of the caller's receive window.
    edge: Option<u32>,
}

impl SequenceTracker {
    pub(super) fn new(receive: usize) -> Self {
        Self {
            initial: None,
            options: SynOptions::default(),
            window: 0,
            sent: 0,
            acknowledged: 0,
            receive,
            received: 0,
            confirmed: None,
            edge: None,
        }
    }

    /// Returns whether all bytes received from the caller have been acknowledged.
    pub(super) fn is_acknowledged(&self) -> bool {
        !is_after(self.received, self.acknowledged)
    }

    /// Returns how far a packet's acknowledgement number is behind the highest one.
    pub(super) fn acknowledgement_lag(&self, packet: &[u8]) -> u32 {
        let tcp = segment(packet).filter(|tcp| tcp.ack() && !tcp.syn() && !tcp.rst());
        let (Some(tcp), Some(confirmed)) = (tcp, self.confirmed) else {
            return 0;
        };
        let number = tcp.acknowledgment_number();
        if is_after(confirmed, number) {
            confirmed.wrapping_sub(number)
        } else {
            0
        }
    }

    /// Returns the window field that a packet would have with the highest right edge of the window.
    ///
    /// Packets may be reordered, and a caller doesn't withdraw a window that it has offered.
    pub(super) fn offered_window(&self, packet: &[u8]) -> Option<u16> {
        let tcp = segment(packet).filter(|tcp| tcp.ack() && !tcp.syn() && !tcp.rst())?;
        self.window_after(tcp.acknowledgment_number())
    }

    /// Returns the window field for an acknowledgement number and the highest right edge.
    pub(super) fn window_after(&self, acknowledged: u32) -> Option<u16> {
        let offered = self.edge?.wrapping_sub(acknowledged);
        // A right edge below the acknowledgement number means a closed window.
        let offered = u32::try_from(offered as i32).unwrap_or(0);
        let field = offered >> self.options.scale.unwrap_or(0);
        Some(u16::try_from(field).unwrap_or(u16::MAX))
    }

    /// Tracks a packet from the caller.
    pub(super) fn incoming(&mut self, packet: &[u8]) {
        let Some(tcp) = segment(packet) else {
            return;
        };
        let end = sequence_end(&tcp);
        if tcp.syn() {
            if self.initial.is_none() {
                self.options = syn_options(&tcp);
                self.acknowledged = end;
                self.received = end;
                self.window = tcp.window_size();
            }
            return;
        }
        let ahead = end.wrapping_sub(self.acknowledged) as usize;
        // The FIN takes one sequence number in addition to the bytes in the buffer.
        if ahead > self.receive + 1 {
            return;
        }
        self.window = tcp.window_size();
        self.update_confirmed(&tcp);
        self.update_edge(&tcp);
        if is_after(end, self.received) {
            self.received = end;
        }
    }

    /// Updates the highest acknowledgement number, unless the packet acknowledges unsent bytes.
    fn update_confirmed(&mut self, tcp: &TcpSlice<'_>) {
        let number = tcp.acknowledgment_number();
        let is_newer = self.confirmed.is_none_or(|c| is_after(number, c));
        if tcp.ack() && is_newer && !is_after(number, self.sent) {
            self.confirmed = Some(number);
        }
    }

    /// Updates the highest right edge of the window, unless the packet acknowledges unsent bytes.
    fn update_edge(&mut self, tcp: &TcpSlice<'_>) {
        let number = tcp.acknowledgment_number();
        let window = u32::from(tcp.window_size()) << self.options.scale.unwrap_or(0);
        let edge = number.wrapping_add(window);
        let is_plausible = tcp.ack() && !is_after(number, self.sent);
        if is_plausible && self.edge.is_none_or(|e| is_after(edge, e)) {
            self.edge = Some(edge);
        }
    }

    /// Tracks a packet from the stack.
    pub(super) fn outgoing(&mut self, packet: &[u8]) {
        let Some(tcp) = segment(packet) else {
            return;
        };
        if tcp.rst() {
            return;
        }
        let end = sequence_end(&tcp);
        if tcp.syn() {
            self.initial = Some(tcp.sequence_number());
            self.sent = end;
        } else if is_after(end, self.sent) {
            self.sent = end;
        }
        if tcp.ack() {
            self.acknowledged = tcp.acknowledgment_number();
        }
    }
}

fn segment(packet: &[u8]) -> Option<TcpSlice<'_>> {
    let ip = IpSlice::from_slice(packet).ok()?;
    TcpSlice::from_slice(ip.payload().payload).ok()
}

fn sequence_end(tcp: &TcpSlice<'_>) -> u32 {
    let flags = u32::from(tcp.syn()) + u32::from(tcp.fin());
    let length = flags.wrapping_add(tcp.payload().len() as u32);
    tcp.sequence_number().wrapping_add(length)
}

/// Returns whether a sequence number is after another one, modulo 2^32.
fn is_after(number: u32, other: u32) -> bool {
    (number.wrapping_sub(other) as i32) > 0
}

fn syn_options(tcp: &TcpSlice<'_>) -> SynOptions {
    let mut options = SynOptions::default();
    for option in tcp.options_iterator().flatten() {
        match option {
            TcpOptionElement::MaximumSegmentSize(size) => options.segment = Some(size),
            TcpOptionElement::WindowScale(scale) => options.scale = Some(scale.min(MAX_SCALE)),
            TcpOptionElement::SelectiveAcknowledgementPermitted => options.sack = true,
            _ => {}
        }
    }
    options
}
