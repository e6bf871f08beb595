//! Follows the numbers of a flow as the stack sees them, to tell whether the flow is quiet.

use etherparse::{IpSlice, TcpOptionElement, TcpSlice};

/// Largest window scale that the standard allows; a larger one counts as this.
const MAX_WINDOW_SCALE: u8 = 14;

/// Options of the caller's SYN.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct SynOptions {
    /// Largest segment that the caller takes, in bytes.
    pub(super) segment: Option<u16>,
    /// Window scale of the caller.
    pub(super) scale: Option<u8>,
    /// Whether the caller takes selective acknowledgements.
    pub(super) sack: bool,
}

/// The numbers of a flow as the stack sees them.
#[derive(Clone, Copy, Debug)]
pub(super) struct SequenceTracker {
    /// Initial sequence number towards the caller.
    pub(super) initial: Option<u32>,
    /// Options of the caller's SYN.
    pub(super) options: SynOptions,
    /// Window field of the caller's last packet.
    pub(super) window: u16,
    /// Next sequence number towards the caller.
    pub(super) sent: u32,
    /// Next sequence number from the caller that was acknowledged.
    pub(super) acknowledged: u32,
    /// Size of the receive buffer in bytes.
    pub(super) receive: usize,
    /// End of the furthest segment from the caller.
    received: u32,
    /// Highest number that the caller has acknowledged, once it has.
    confirmed: Option<u32>,
    /// Highest number up to which the caller has offered to take bytes.
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

    /// Returns whether everything that came from the caller was acknowledged.
    pub(super) fn is_acknowledged(&self) -> bool {
        !is_after(self.received, self.acknowledged)
    }

    /// Returns by how much a packet's acknowledgement number is behind the highest one seen.
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

    /// Returns the window field that a packet would have if it offered all that the caller has offered
    /// before, which it can't take back.
    pub(super) fn offered_window(&self, packet: &[u8]) -> Option<u16> {
        let tcp = segment(packet).filter(|tcp| tcp.ack() && !tcp.syn() && !tcp.rst())?;
        self.window_after(tcp.acknowledgment_number())
    }

    /// Returns the window field that goes with an acknowledgement number.
    pub(super) fn window_after(&self, acknowledged: u32) -> Option<u16> {
        let offered = self.edge?.wrapping_sub(acknowledged);
        // An edge that lies behind the acknowledgement offers nothing.
        let offered = u32::try_from(offered as i32).unwrap_or(0);
        let field = offered >> self.options.scale.unwrap_or(0);
        Some(u16::try_from(field).unwrap_or(u16::MAX))
    }

    /// Takes a packet of the caller.
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
        // The end of the stream takes one number more than the buffer has bytes.
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

    /// Notes the acknowledgement number of a packet, if it is of something that was sent.
    fn update_confirmed(&mut self, tcp: &TcpSlice<'_>) {
        let number = tcp.acknowledgment_number();
        let is_newer = self.confirmed.is_none_or(|c| is_after(number, c));
        if tcp.ack() && is_newer && !is_after(number, self.sent) {
            self.confirmed = Some(number);
        }
    }

    /// Notes up to which number a packet offers to take bytes.
    fn update_edge(&mut self, tcp: &TcpSlice<'_>) {
        let number = tcp.acknowledgment_number();
        let window = u32::from(tcp.window_size()) << self.options.scale.unwrap_or(0);
        let edge = number.wrapping_add(window);
        let is_plausible = tcp.ack() && !is_after(number, self.sent);
        if is_plausible && self.edge.is_none_or(|e| is_after(edge, e)) {
            self.edge = Some(edge);
        }
    }

    /// Takes a packet of the stack.
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

/// Returns whether a sequence number comes after another one.
fn is_after(number: u32, other: u32) -> bool {
    (number.wrapping_sub(other) as i32) > 0
}

fn syn_options(tcp: &TcpSlice<'_>) -> SynOptions {
    let mut options = SynOptions::default();
    for option in tcp.options_iterator().flatten() {
        match option {
            TcpOptionElement::MaximumSegmentSize(size) => options.segment = Some(size),
            TcpOptionElement::WindowScale(scale) => {
                options.scale = Some(scale.min(MAX_WINDOW_SCALE))
            }
            TcpOptionElement::SelectiveAcknowledgementPermitted => options.sack = true,
            _ => {}
        }
    }
    options
}
