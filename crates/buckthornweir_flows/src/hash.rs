//! Keyed hashes of flows.

use std::net::{IpAddr, SocketAddr};

use siphasher::sip::SipHasher13;

use crate::packet::FiveTuple;

/// Length in bytes of one address and port in the hash input.
const ENDPOINT_LENGTH: usize = 18;

/// Domain separation of the hash, so that the result of one use reveals nothing about another.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Purpose {
    /// The placement bucket of a flow.
    Bucket = 1,
    /// The initial sequence number of a flow.
    Sequence = 2,
    /// The number of a query about a flow.
    Query = 4,
    /// The shard of a flow.
    Shard = 3,
}

/// Returns the keyed hash of a flow and a number.
pub(crate) fn flow_hash(key: &[u8; 16], purpose: Purpose, tuple: &FiveTuple, number: u32) -> u64 {
    let mut bytes = [0; 2 * ENDPOINT_LENGTH + 5];
    write_endpoint(&mut bytes[..ENDPOINT_LENGTH], tuple.caller);
    write_endpoint(
        &mut bytes[ENDPOINT_LENGTH..2 * ENDPOINT_LENGTH],
        tuple.service,
    );
    bytes[2 * ENDPOINT_LENGTH] = purpose as u8;
    bytes[2 * ENDPOINT_LENGTH + 1..].copy_from_slice(&number.to_be_bytes());
    SipHasher13::new_with_key(key).hash(&bytes)
}

fn write_endpoint(bytes: &mut [u8], endpoint: SocketAddr) {
    let address = match endpoint.ip() {
        IpAddr::V4(address) => address.to_ipv6_mapped(),
        IpAddr::V6(address) => address,
    };
    bytes[..16].copy_from_slice(&address.octets());
    bytes[16..].copy_from_slice(&endpoint.port().to_be_bytes());
}

/// Mixes two numbers into a pseudorandom one, with the finalizer of `SplitMix64`.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the shard index of a flow, which is less than `shards`.
pub(crate) fn shard_of(key: &[u8; 16], tuple: &FiveTuple, shards: usize) -> usize {
    (flow_hash(key, Purpose::Shard, tuple, 0) % shards as u64) as usize
}
