//! Selection of the holders of a key's record.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::Member;
use crate::NodeId;

/// Number of holders of each record.
pub(crate) const HOLDERS_PER_KEY: usize = 3;

/// Returns the holders of a key's record, selected by rendezvous hashing over the members.
///
/// Members of failure domains without a holder are preferred, so that the holders are spread over
/// as many failure domains as possible.
///
/// ```
/// use buckthornweir_requests::idempotency::{Member, holders_of};
///
/// let members = [(1, "a"), (2, "a"), (3, "b"), (4, "c")];
/// let members = members.map(|(node, domain)| Member::new(node, domain));
/// let holders = holders_of([0, 0], b"order-1", members.iter());
/// assert_eq!(holders.len(), 3);
/// assert!(holders.contains(&3) && holders.contains(&4));
/// ```
pub fn holders_of<'a>(
    hash_key: [u64; 2],
    key: &[u8],
    members: impl Iterator<Item = &'a Member>,
) -> Vec<NodeId> {
    let mut ranked: Vec<_> = members
        .map(|m| (weight(hash_key, key, m.node), m))
        .collect();
    ranked.sort_unstable_by_key(|&(weight, member)| (std::cmp::Reverse(weight), member.node));
    let mut chosen: Vec<&Member> = Vec::with_capacity(HOLDERS_PER_KEY);
    for &(_, member) in &ranked {
        let is_new_domain = chosen.iter().all(|c| c.domain != member.domain);
        if chosen.len() < HOLDERS_PER_KEY && is_new_domain {
            chosen.push(member);
        }
    }
    for &(_, member) in &ranked {
        let is_chosen = chosen.iter().any(|c| c.node == member.node);
        if chosen.len() < HOLDERS_PER_KEY && !is_chosen {
            chosen.push(member);
        }
    }
    chosen.iter().map(|member| member.node).collect()
}

/// Returns how many of `count` holders must grant a claim.
pub(crate) fn majority(count: usize) -> usize {
    count / 2 + 1
}

fn weight(hash_key: [u64; 2], key: &[u8], node: NodeId) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(hash_key[0], hash_key[1]);
    hasher.write_u64(node);
    hasher.write(key);
    hasher.finish()
}
