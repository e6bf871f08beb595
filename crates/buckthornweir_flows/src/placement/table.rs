//! Computes the owner of each bucket.

use super::{BUCKETS, Candidate, NO_OWNER, cost, mix};

/// Fraction by which a candidate's buckets may exceed its share by weight.
const CAPACITY_SLACK: f64 = 0.02;

/// The candidates with the same weight step.
#[derive(Debug)]
struct WeightClass {
    weight: u8,
    indices: Vec<u16>,
}

/// Returns the index of each bucket's owner among the candidates.
///
/// Each bucket goes to the first candidate in rendezvous order with remaining capacity. Without
/// this bound, a candidate among hundreds gets up to a third more buckets than the mean.
pub(super) fn fill(seed: u64, candidates: &[Candidate]) -> Box<[u16]> {
    let classes = classes(candidates);
    let mut remaining = capacities(candidates);
    let owner = |bucket| {
        let hash = mix(seed, u64::from(bucket));
        let owner = first_choice(hash, candidates, &classes, &remaining)?;
        remaining[usize::from(owner)] -= 1;
        Some(owner)
    };
    let owners = (0..BUCKETS).map(owner);
    owners.map(|owner| owner.unwrap_or(NO_OWNER)).collect()
}

/// Groups the candidates that accept new flows by weight step.
fn classes(candidates: &[Candidate]) -> Vec<WeightClass> {
    let mut classes = Vec::<WeightClass>::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = candidate.weight;
        if weight == 0 {
            continue;
        }
        let index = index as u16;
        match classes.iter_mut().find(|class| class.weight == weight) {
            Some(class) => class.indices.push(index),
            None => classes.push(WeightClass {
                weight,
                indices: vec![index],
            }),
        }
    }
    classes
}

/// Returns the maximum number of buckets of each candidate.
fn capacities(candidates: &[Candidate]) -> Vec<u32> {
    let weights = candidates
        .iter()
        .map(|candidate| f64::from(candidate.weight));
    let sum: f64 = weights.clone().sum();
    let share = f64::from(BUCKETS) * (1.0 + CAPACITY_SLACK) / sum.max(1.0);
    weights
        .map(|weight| (weight * share).ceil() as u32)
        .collect()
}

/// Returns the first candidate in rendezvous order with remaining capacity.
///
/// Within a weight step the highest hash has the lowest cost, so the cost is computed only for the
/// winner of each step.
fn first_choice(
    hash: u64,
    candidates: &[Candidate],
    classes: &[WeightClass],
    remaining: &[u32],
) -> Option<u16> {
    let mut best = None;
    for class in classes {
        let available = class
            .indices
            .iter()
            .filter(|&&index| remaining[usize::from(index)] > 0);
        let hashes =
            available.map(|&index| (mix(hash, candidates[usize::from(index)].node), index));
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
