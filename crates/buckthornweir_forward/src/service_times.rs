//! Estimates of how long requests take, by route.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum number of routes with an estimate.
const MAX_ROUTES: usize = 64;

/// How long an estimate is used without a further sample.
const ESTIMATE_TTL: Duration = Duration::from_secs(10);

/// Weight of a sample if samples are frequent.
const LEAST_WEIGHT: f64 = 1.0 / 8.0;

/// Interval between samples at which one has the weight 1/2. A change by a factor of 3 must show
/// within 2 s, also at one request per second.
const HALF_WEIGHT_INTERVAL: Duration = Duration::from_secs(1);

/// The expected service time of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Exponentially weighted moving average.
    pub mean: Duration,
    /// Mean deviation from it.
    pub deviation: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Average {
    /// Seconds.
    mean: f64,
    /// Seconds.
    deviation: f64,
    sampled_at: Duration,
}

impl Average {
    fn new(now: Duration, took: f64) -> Self {
        Self {
            mean: took,
            deviation: took / 2.0,
            sampled_at: now,
        }
    }

    fn is_expired(&self, now: Duration) -> bool {
        now >= self.sampled_at + ESTIMATE_TTL
    }

    /// Returns the weight of a sample that is taken now.
    fn weight(&self, now: Duration) -> f64 {
        let gap = now.saturating_sub(self.sampled_at).as_secs_f64();
        LEAST_WEIGHT.max(gap / (gap + HALF_WEIGHT_INTERVAL.as_secs_f64()))
    }

    fn note(&mut self, now: Duration, took: f64) {
        if self.is_expired(now) {
            *self = Self::new(now, took);
            return;
        }
        let weight = self.weight(now);
        let error = took - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
        self.sampled_at = now;
    }

    /// Returns the estimate, in which a request that has been running for longer than the average
    /// counts as a sample.
    fn estimate(&self, now: Duration, longest: Duration) -> Option<Estimate> {
        if self.is_expired(now) {
            return None;
        }
        let mut average = *self;
        if longest.as_secs_f64() > self.mean {
            average.note(now, longest.as_secs_f64());
        }
        Some(Estimate {
            mean: Duration::from_secs_f64(average.mean),
            deviation: Duration::from_secs_f64(average.deviation),
        })
    }
}

/// The times from the first packet of a request to the first packet of its response.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    routes: BTreeMap<SocketAddrV4, Average>,
    overall: Option<Average>,
}

impl ServiceTimes {
    /// Records the service time of a request to the route's address. Once the maximum number of
    /// routes is reached, the one without a sample for the longest time is evicted.
    pub fn note(&mut self, now: Duration, route: SocketAddrV4, took: Duration) {
        let took = took.as_secs_f64();
        match &mut self.overall {
            Some(overall) => overall.note(now, took),
            None => self.overall = Some(Average::new(now, took)),
        }
        if let Some(average) = self.routes.get_mut(&route) {
            return average.note(now, took);
        }
        if self.routes.len() >= MAX_ROUTES {
            let oldest = self.routes.iter().min_by_key(|(_, a)| a.sampled_at);
            if let Some(oldest) = oldest.map(|(route, _)| *route) {
                self.routes.remove(&oldest);
            }
        }
        self.routes.insert(route, Average::new(now, took));
    }

    /// Forgets all samples.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of routes with samples.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the expectations while these requests run, given by their routes and their running
    /// times so far.
    #[must_use]
    pub fn expected(
        &self,
        now: Duration,
        running: impl Iterator<Item = (SocketAddrV4, Duration)>,
    ) -> Expected<'_> {
        let mut longest = BTreeMap::new();
        for (route, time) in running {
            let entry = longest.entry(route).or_insert(time);
            *entry = time.max(*entry);
        }
        Expected {
            times: self,
            now,
            longest,
        }
    }
}

/// The expected service times while certain requests run.
#[derive(Clone, Debug)]
pub struct Expected<'a> {
    times: &'a ServiceTimes,
    now: Duration,
    /// The longest running time so far by route.
    longest: BTreeMap<SocketAddrV4, Duration>,
}

impl Expected<'_> {
    /// Returns the estimate for a route; `None` if it is unknown.
    #[must_use]
    pub fn route(&self, route: &SocketAddrV4) -> Option<Estimate> {
        let longest = self.longest.get(route).copied().unwrap_or_default();
        self.times.routes.get(route)?.estimate(self.now, longest)
    }

    /// Returns the estimate over all routes; `None` if it is unknown.
    #[must_use]
    pub fn overall(&self) -> Option<Estimate> {
        let longest = self.longest.values().max().copied().unwrap_or_default();
        self.times.overall?.estimate(self.now, longest)
    }

    /// Returns the estimate for a route, or else the one over all routes, which the same backend
    /// server serves.
    #[must_use]
    pub fn service(&self, route: &SocketAddrV4) -> Option<Estimate> {
        self.route(route).or_else(|| self.overall())
    }

    /// Returns the expected remaining time of a request. One that is overdue is expected to run for
    /// as long as it is overdue already, and at least for the mean deviation.
    #[must_use]
    pub fn remaining(&self, route: &SocketAddrV4, time: Duration) -> Option<Duration> {
        let average = self.times.routes.get(route).or(self.times.overall.as_ref());
        let estimate = average?.estimate(self.now, Duration::ZERO)?;
        Some(match time <= estimate.mean {
            true => estimate.mean - time,
            false => (time - estimate.mean).max(estimate.deviation),
        })
    }
}
