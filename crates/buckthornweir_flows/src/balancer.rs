//! Routing decisions of a balancer.
//!
//! A balancer holds no flow state. Its hint cache saves a hop for flows whose owner differs from
//! the placement; the loss of the cache has no other effect.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::NodeId;
use crate::bounded::BoundedMap;
use crate::hash::shard_of;
use crate::messages::{self, Hint};
use crate::packet::{FiveTuple, PacketInfo};
use crate::view::{Member, ServiceView};

/// Number of shards of the hint cache.
const SHARDS: usize = 16;

/// Limits of a balancer's hint cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HintLimits {
    /// Maximum number of cached hints.
    pub hints: usize,
    /// Time until a hint expires.
    pub lifetime: Duration,
}

impl Default for HintLimits {
    fn default() -> Self {
        Self {
            hints: 64 * 1024,
            lifetime: Duration::from_secs(60),
        }
    }
}

/// The state on which a balancer bases its decisions.
#[derive(Clone, Debug, Default)]
pub struct BalancerView {
    /// Version of the bundle in force at the balancer.
    pub version: u64,
    services: HashMap<SocketAddr, Arc<ServiceView>>,
}

impl BalancerView {
    /// Creates the view for a bundle version and its services.
    ///
    /// Service views passed as an [`Arc`] are shared, not copied.
    pub fn new<V: Into<Arc<ServiceView>>>(version: u64, services: Vec<V>) -> Self {
        let mut by_address = HashMap::new();
        for service in services.into_iter().map(Into::into) {
            for &address in &service.addresses {
                by_address.insert(address, Arc::clone(&service));
            }
        }
        Self {
            version,
            services: by_address,
        }
    }

    /// Returns the service that is reachable at this address.
    pub fn service(&self, address: SocketAddr) -> Option<&ServiceView> {
        self.services.get(&address).map(Arc::as_ref)
    }
}

/// The routing decision for a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Forward the packet to an agent.
    Forward {
        /// The agent.
        node: NodeId,
        /// Address at which the agent receives messages.
        address: SocketAddr,
        /// Name of the service that the packet is for.
        service: SmolStr,
    },
    /// Drop the packet.
    Drop(RouteDrop),
}

/// The reason why a balancer drops a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteDrop {
    /// No service has the packet's address and port.
    NoService,
    /// No agent of the service accepts new flows.
    NoOwner,
    /// The service has no agents.
    NoMembers,
}

/// Routes packets and caches hints about owners.
#[derive(Debug)]
pub struct Balancer {
    key: [u8; 16],
    shards: Box<[Mutex<BoundedMap<FiveTuple, NodeId>>]>,
    lifetime: Duration,
    /// Time in microseconds at which the last hint expires; lets lookups skip an expired cache.
    expires: AtomicU64,
}

impl Balancer {
    /// Creates a balancer without hints; `key` spreads flows over the cache shards.
    pub fn new(key: [u8; 16], limits: &HintLimits) -> Self {
        let capacity = limits.hints / SHARDS;
        let shard = || Mutex::new(BoundedMap::new(capacity, limits.lifetime));
        Self {
            key,
            shards: std::iter::repeat_with(shard).take(SHARDS).collect(),
            lifetime: limits.lifetime,
            expires: AtomicU64::new(0),
        }
    }

    /// Decides how to route a packet from the fabric.
    pub fn route(&self, view: &BalancerView, info: &PacketInfo, now: Duration) -> Route {
        let Some(service) = view.service(info.tuple.service) else {
            return Route::Drop(RouteDrop::NoService);
        };
        if info.starts_flow() {
            return forward_to(service, service.new_owner(&info.tuple), RouteDrop::NoOwner);
        }
        let hinted = self.hinted(service, &info.tuple, now);
        let owner = hinted.or_else(|| likeliest_owner(service, &info.tuple));
        let member = owner.and_then(|node| service.member(node));
        forward_to(service, member, RouteDrop::NoMembers)
    }

    /// Caches the owner of a flow, as reported by an agent.
    ///
    /// # Errors
    ///
    /// Returns an error if the hint has no valid flow.
    pub fn hint(&self, hint: &Hint, now: Duration) -> messages::Result<()> {
        let tuple = messages::decode_flow(hint.flow.as_ref())?;
        self.shard(&tuple).lock().insert(tuple, hint.owner, now);
        let expires = micros(now.saturating_add(self.lifetime));
        self.expires.fetch_max(expires, Ordering::Relaxed);
        Ok(())
    }

    /// Returns the hinted owner if it is a member of the service.
    fn hinted(&self, service: &ServiceView, tuple: &FiveTuple, now: Duration) -> Option<NodeId> {
        if micros(now) >= self.expires.load(Ordering::Relaxed) {
            return None;
        }
        let owner = *self.shard(tuple).lock().get_mut(tuple, now)?;
        service.member(owner).map(|member| member.node)
    }

    fn shard(&self, tuple: &FiveTuple) -> &Mutex<BoundedMap<FiveTuple, NodeId>> {
        &self.shards[shard_of(&self.key, tuple, SHARDS)]
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn likeliest_owner(service: &ServiceView, tuple: &FiveTuple) -> Option<NodeId> {
    let placement = service.placement();
    let owner = placement.owner(tuple);
    owner.or_else(|| placement.order(tuple).first().copied())
}

fn forward_to(service: &ServiceView, member: Option<&Member>, reason: RouteDrop) -> Route {
    let Some(member) = member else {
        return Route::Drop(reason);
    };
    Route::Forward {
        node: member.node,
        address: member.address,
        service: service.name.clone(),
    }
}
