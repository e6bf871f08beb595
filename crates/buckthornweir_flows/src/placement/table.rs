//! The table that gives each bucket its owner.

use super::{BUCKETS, Candidate, NO_OWNER, cost, mix};

/// Share by which a candidate may get more buckets than its weight gives it.
const SLACK: f64 = 0.02;

/// The candidates of one weight step.
#[derive(Debug)]
struct Class {
    weight: u8,
    indexes: Vec<u16>,
}

/// Returns the index of each bucket's owner among the candidates.
///
/// A bucket goes to its first candidate in rendezvous order that has room. Without the bound, a
/// candidate among hundreds gets up to a third more buckets than the mean.
pub(super) fn fill(seed: u64, candidates: &[Candidate]) -> Box<[u16]> {
    let classes = classes(candidates);
    let mut room = room(candidates);
    let owner = |bucket| {
        let hash = mix(seed, u64::from(bucket));
        let owner = first_choice(hash, candidates, &classes, &room)?;
        room[usize::from(owner)] -= 1;
        Some(owner)
    };
    let owners = (0..BUCKETS).map(owner);
    owners.map(|owner| owner.unwrap_or(NO_OWNER)).collect()
}

/// Returns the candidates that take new flows by their weight steps.
fn classes(candidates: &[Candidate]) -> Vec<Class> {
    let mut classes = Vec::<Class>::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = candidate.weight;
        if weight == 0 {
            continue;
        }
        let index = index as u16;
        match classes.iter_mut().find(|class| class.weight == weight) {
            Some(class) => class.indexes.push(index),
            None => classes.push(Class {
                weight,
                indexes: vec![index],
            }),
        }
    }
    classes
}

/// Returns the number of buckets that each candidate may get.
fn room(candidates: &[Candidate]) -> Vec<u32> {
    let weights = candidates
        .iter()
        .map(|candidate| f64::from(candidate.weight));
    let sum: f64 = weights.clone().sum();
    let share = f64::from(BUCKETS) * (1.0 + SLACK) / sum.max(1.0);
    weights
        .map(|weight| (weight * share).ceil() as u32)
        .collect()
}

/// Returns the candidate with room that rendezvous hashing puts first.
///
/// Within one weight step the highest hash wins, so only the winners' costs are worked out.
fn first_choice(
    hash: u64,
    candidates: &[Candidate],
    classes: &[Class],
    room: &[u32],
) -> Option<u16> {
    let mut best = None;
    for class in classes {
        let with_room = class
            .indexes
            .iter()
            .filter(|&&index| room[usize::from(index)] > 0);
        let hashes =
            with_room.map(|&index| (mix(hash, candidates[usize::from(index)].node), index));
        let Some((_, index)) = hashes.max() else {
            continue;
        };
        let cost = cost(hash, &candidates[usize::from(index)]);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index)
}
