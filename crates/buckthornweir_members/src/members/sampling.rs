//! Random sampling of members.

use rand::RngExt;

use super::Members;
use crate::{Health, NodeId};

/// The maximum number of random draws per requested member.
const DRAWS: usize = 4;

impl Members {
    pub(super) fn choose<T: Copy>(&mut self, items: &[T]) -> Option<T> {
        if items.is_empty() {
            return None;
        }
        Some(items[self.rng.random_range(0..items.len())])
    }

    pub(super) fn random_live(&mut self) -> Option<NodeId> {
        let index = match self.table.live().len() {
            0 => return None,
            members => self.rng.random_range(0..members),
        };
        Some(self.table.live()[index])
    }

    /// Returns up to `count` distinct members that are alive.
    pub(super) fn random_members(&mut self, count: usize, except: Option<NodeId>) -> Vec<NodeId> {
        let mut chosen = Vec::with_capacity(count);
        for _ in 0..count * DRAWS {
            if let Some(node) = self.random_alive(except)
                && !chosen.contains(&node)
            {
                chosen.push(node);
            }
            if chosen.len() == count {
                break;
            }
        }
        chosen
    }

    /// Returns helpers for a probe, from different failure domains where possible.
    pub(super) fn random_helpers(&mut self, target: NodeId) -> Vec<NodeId> {
        let count = self.config.helpers;
        let mut chosen = Vec::with_capacity(count);
        let mut domains = Vec::with_capacity(count);
        for _ in 0..count * DRAWS {
            let Some(node) = self.random_alive(Some(target)) else {
                continue;
            };
            let domain = self
                .table
                .get(node)
                .map(|entry| entry.record.domain.clone());
            if chosen.len() < count && !domains.contains(&domain) {
                chosen.push(node);
                domains.push(domain);
            }
        }
        let others = self.random_members(count * 2, Some(target));
        let others = others.into_iter().filter(|node| !chosen.contains(node));
        let missing = count - chosen.len();
        let others: Vec<_> = others.take(missing).collect();
        chosen.extend(others);
        chosen
    }

    /// Returns a random member, or `None` if the drawn one is `except` or not alive.
    fn random_alive(&mut self, except: Option<NodeId>) -> Option<NodeId> {
        let node = self.random_live()?;
        let alive = self
            .table
            .get(node)
            .is_some_and(|entry| entry.health == Health::Alive);
        (alive && Some(node) != except).then_some(node)
    }
}
