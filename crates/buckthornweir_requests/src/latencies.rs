//! Recent and baseline latency of one backend server.

use std::time::Duration;

/// Weight of one sample in the recent mean.
const RECENT_WEIGHT: f64 = 0.25;
/// Minimum weight of one sample in the baseline latency.
const MIN_BASELINE_WEIGHT: f64 = 0.01;
/// Minimum number of samples before the baseline latency is used to detect slow responses.
const MIN_BASELINE_SAMPLES: u32 = 16;

/// Detects slow responses by moving averages, so that a single slow response doesn't count.
#[derive(Clone, Debug)]
pub(crate) struct Latencies {
    factor: f64,
    floor: Duration,
    /// Recent mean in seconds.
    recent: Option<f64>,
    /// Baseline latency in seconds.
    baseline: f64,
    samples: u32,
}

impl Latencies {
    /// Returns averages without samples. A latency is long above `factor` times the baseline, but
    /// never below `floor`.
    pub(crate) fn new(factor: f64, floor: Duration) -> Self {
        Self {
            factor,
            floor,
            recent: None,
            baseline: 0.0,
            samples: 0,
        }
    }

    /// Returns the recent mean, or `None` without a sample.
    pub(crate) fn recent(&self) -> Option<Duration> {
        self.recent.map(Duration::from_secs_f64)
    }

    /// Returns the baseline latency; zero without a sample.
    pub(crate) fn baseline(&self) -> Duration {
        Duration::from_secs_f64(self.baseline)
    }

    /// Records the latency of a successful response.
    pub(crate) fn record(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        let recent = self.recent.unwrap_or(sample);
        self.recent = Some(recent + (sample - recent) * RECENT_WEIGHT);
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_BASELINE_WEIGHT);
        self.baseline += (sample - self.baseline) * weight;
    }

    /// Resets the recent mean.
    pub(crate) fn reset_recent(&mut self) {
        self.recent = None;
    }

    /// Returns whether the recent mean is well above the baseline.
    pub(crate) fn is_slow(&self) -> bool {
        let recent = self.recent().unwrap_or_default();
        self.samples >= MIN_BASELINE_SAMPLES && self.is_long(recent)
    }

    /// Returns whether the latency is well above the baseline recorded so far.
    pub(crate) fn is_long(&self, latency: Duration) -> bool {
        latency >= self.floor && latency.as_secs_f64() > self.baseline * self.factor
    }
}
