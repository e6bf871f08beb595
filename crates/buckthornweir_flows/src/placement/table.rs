//! The table that gives each bucket its owner.

use super::{BUCKETS, Candidate, NO_OWNER, cost, mix};

/// Share by which a candidate may get more buckets than its weight gives it.
const CAPACITY_SLACK: f64 = 0.02;

/// The candidates of one weight step.
#[derive(Debug)]
struct WeightClass {
    weight: u8,
    indices: Vec<u16>,
}

/// Returns the index of each bucket's owner among the candidates.
///
/// A bucket goes to its first candidate in rendezvous order that has room. Without the bound, a
/// candidate among hundreds gets up to a third more buckets than the mean.
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

/// Returns the candidates that take new flows by their weight steps.
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

/// Returns the number of buckets that each candidate may get.
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

/// Returns the candidate with room that rendezvous hashing puts first.
///
/// Within one weight step the highest hash wins, so only the winners' costs are worked out.
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
