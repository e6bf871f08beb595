//! The weight step that an agent announces: how fast its backend server answers, relative to the
//! latency objectives of its routes.

use std::time::Duration;

/// The weight step of an agent whose requests take at most an eighth of their objective.
pub const FULL_STEP: u8 = 16;

/// Time taken divided by objective up to which an agent announces [`FULL_STEP`].
const FULL_RATIO: f64 = 1.0 / 8.0;

/// Upper limit of one sample, in objectives. The step is already 1 at this ratio, and a limit lets
/// the average recover after a few good samples.
const MAX_RATIO: f64 = 2.0;

/// Time constants of the averages, the fastest first. The first average whose difference from the
/// step exceeds its own uncertainty decides: a fast one for large changes or many samples, a slow
/// one for small changes.
const AVERAGE_TIMES: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(8),
    Duration::from_secs(30),
];

/// Time after a fall during which half the uncertainty is enough for a further fall: an average lags
/// behind a jump of the speed, so the first fall is rarely sufficient.
const FALL_INTERVAL: Duration = Duration::from_secs(5);

/// Time constant of the deviation of samples.
const DEVIATION_TIME: Duration = Duration::from_secs(10);

/// Uncertainty of an average in mean deviations, about three standard deviations. Each change of a
/// step is a message to all processes, so noise must not cause any.
const UNCERTAINTY: f64 = 4.0;

/// Weight of one sample in the mean interval between samples. Weights of samples follow from the
/// mean: several overdue requests are counted at the same time, and their weight must not be zero.
const INTERVAL_WEIGHT: f64 = 1.0 / 4.0;

/// Mean interval between samples that is assumed before the first ones.
const INITIAL_INTERVAL_SECS: f64 = 1.0;

/// Smallest weight of a sample.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 1_024.0;

/// Largest weight of a sample. Three rare samples move the fastest average by two thirds, so that
/// the trial flows of an agent at step 1 show a recovery within seconds.
const MAX_SAMPLE_WEIGHT: f64 = 1.0 / 3.0;

/// Smallest change of the step.
const MIN_CHANGE: u8 = 2;

/// Upper limit of the relative deviation of one sample, so that a jump of the speed does not count
/// as noise for long.
const MAX_DEVIATION: f64 = 1.0;

/// Minimum interval between two changes of the step.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum interval between a change of the step and a rise, in which the flows that follow the
/// change show their effect on the speed.
const RISE_DELAY: Duration = Duration::from_secs(3);

/// Time after a fall during which the step rises only by a factor of [`RECOVERY_FACTOR`], and only
/// once. If the time taken depends on the load, the best step may lie between two steps that are
/// [`MIN_CHANGE`] apart, or a rise may cause the next fall; the step would swing between the two.
const RISE_INTERVAL: Duration = Duration::from_secs(60);

/// Smallest rise within [`RISE_INTERVAL`]. It lets an agent recover that was slow for some seconds.
const RECOVERY_FACTOR: u8 = 3;

/// Time without a sample after which the speed counts as unknown.
const SAMPLE_TTL: Duration = Duration::from_secs(10);

/// An average of time taken divided by objective.
#[derive(Clone, Copy, Debug)]
struct Average {
    mean: f64,
    /// Variance of the mean divided by that of a sample.
    variance: f64,
}

impl Default for Average {
    fn default() -> Self {
        Self {
            mean: FULL_RATIO,
            variance: 0.0,
        }
    }
}

/// The speed of a backend server and the weight step that results from it.
///
/// A step rises at most by a factor of 2 at a time, so that a few good samples do not attract the
/// flows of all balancers.
#[derive(Clone, Debug)]
pub struct Speed {
    averages: [Average; AVERAGE_TIMES.len()],
    /// Mean deviation of a sample from the fastest average, divided by that average.
    deviation: f64,
    /// Time of the last sample; `None` if the speed is unknown.
    sampled: Option<Duration>,
    /// Mean interval between samples, in seconds.
    interval: f64,
    /// Time until which requests that run for longer than [`MAX_RATIO`] objectives are counted.
    overdue_until: Duration,
    step: u8,
    /// Time of the last change of the step.
    changed: Option<Duration>,
    /// Time of the last fall of the step.
    fell: Option<Duration>,
    /// Time of the last rise within [`RISE_INTERVAL`] of a fall.
    recovered: Option<Duration>,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            averages: Default::default(),
            deviation: 0.0,
            sampled: None,
            interval: INITIAL_INTERVAL_SECS,
            overdue_until: Duration::ZERO,
            step: FULL_STEP,
            changed: None,
            fell: None,
            recovered: None,
        }
    }
}

impl Speed {
    /// Records that a request with the given objective has ended after `took`. A request that
    /// [`Speed::note_overdue`] has counted is not counted again.
    pub fn note(&mut self, now: Duration, took: Duration, objective: Duration) {
        if !self.was_overdue(now, took, objective) {
            self.add(now, took, objective);
        }
    }

    /// Records that a flow with the given objective was reset without a response, `ran` after its
    /// request arrived, if one did. It counts like an overdue request.
    pub fn note_failure(&mut self, now: Duration, ran: Option<Duration>, objective: Duration) {
        if !ran.is_some_and(|ran| self.was_overdue(now, ran, objective)) {
            self.add(now, objective.mul_f64(MAX_RATIO), objective);
        }
    }

    /// Returns whether [`Speed::note_overdue`] has counted a request that ran for `ran`.
    fn was_overdue(&self, now: Duration, ran: Duration, objective: Duration) -> bool {
        let due = now.saturating_sub(ran) + objective.mul_f64(MAX_RATIO);
        ran >= objective.mul_f64(MAX_RATIO) && due <= self.overdue_until
    }

    /// Counts the running requests that have exceeded twice their objective since the last call.
    /// `running` gives the start and the objective of each running request.
    pub fn note_overdue(
        &mut self,
        now: Duration,
        running: impl IntoIterator<Item = (Duration, Duration)>,
    ) {
        let last = std::mem::replace(&mut self.overdue_until, now);
        for (since, objective) in running {
            let due = since + objective.mul_f64(MAX_RATIO);
            if due > last && due <= now {
                self.add(now, now.saturating_sub(since), objective);
            }
        }
    }

    /// Returns the weight step, from 1 to [`FULL_STEP`].
    pub fn step(&mut self, now: Duration) -> u8 {
        if self.sampled.is_some_and(|at| now >= at + SAMPLE_TTL) {
            self.forget();
        }
        if is_recent(now, self.changed, CHANGE_INTERVAL) {
            return self.step;
        }
        let wanted = match self.sampled {
            Some(_) => self.wanted_step(now),
            None => FULL_STEP,
        };
        if wanted != self.step {
            if wanted < self.step {
                self.fell = Some(now);
            } else if is_recent(now, self.fell, RISE_INTERVAL) {
                self.recovered = Some(now);
            }
            self.step = wanted;
            self.changed = Some(now);
        }
        self.step
    }

    fn add(&mut self, now: Duration, took: Duration, objective: Duration) {
        if objective.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / objective.as_secs_f64();
        let ratio = ratio.min(MAX_RATIO);
        if self.sampled.is_some_and(|at| now >= at + SAMPLE_TTL) {
            self.forget();
        }
        if let Some(at) = self.sampled {
            let interval = now.saturating_sub(at).as_secs_f64();
            self.interval += INTERVAL_WEIGHT * (interval - self.interval);
        }
        let mean = self.averages[0].mean;
        let difference = ((ratio - mean).abs() / mean).min(MAX_DEVIATION);
        let weight = sample_weight(self.interval, DEVIATION_TIME);
        self.deviation += weight * (difference - self.deviation);
        for (average, time) in self.averages.iter_mut().zip(AVERAGE_TIMES) {
            let weight = sample_weight(self.interval, time);
            average.mean += weight * (ratio - average.mean);
            average.variance = (1.0 - weight).powi(2) * average.variance + weight.powi(2);
        }
        self.sampled = Some(now);
    }

    fn forget(&mut self) {
        self.averages = Default::default();
        self.deviation = 0.0;
        self.interval = INITIAL_INTERVAL_SECS;
        self.sampled = None;
    }

    /// Returns the step that the averages call for. The slower averages follow the one that
    /// decides, since they contain samples from before the change.
    fn wanted_step(&mut self, now: Duration) -> u8 {
        let step = self.step;
        let current = ratio_of(step);
        for i in 0..self.averages.len() {
            let average = self.averages[i];
            let falls = average.mean > current && is_recent(now, self.fell, FALL_INTERVAL);
            let deviations = if falls {
                UNCERTAINTY / 2.0
            } else {
                UNCERTAINTY
            };
            let relative = deviations * self.deviation * average.variance.sqrt();
            let uncertainty = relative * average.mean;
            // The value within the uncertainty that is nearest to the current step.
            let (low, high) = (average.mean - uncertainty, average.mean + uncertainty);
            let nearest = step_of(current.clamp(low, high));
            if nearest.abs_diff(step) >= MIN_CHANGE && self.may_become(now, nearest) {
                let wanted = step_of(average.mean);
                self.averages[i..].fill(average);
                return wanted.min(step.saturating_mul(2).max(step + MIN_CHANGE));
            }
        }
        step
    }

    /// Returns whether the step may change to `wanted` so soon after the last changes. A recovery
    /// consists of several rises, which follow each other within [`SAMPLE_TTL`].
    fn may_become(&self, now: Duration, wanted: u8) -> bool {
        if wanted < self.step {
            return true;
        }
        if is_recent(now, self.changed, RISE_DELAY) {
            return false;
        }
        if !is_recent(now, self.fell, RISE_INTERVAL) {
            return true;
        }
        let is_recovering =
            self.recovered > self.fell && is_recent(now, self.recovered, SAMPLE_TTL);
        let may_recover = !is_recent(now, self.recovered, RISE_INTERVAL);
        is_recovering || (may_recover && wanted >= self.step * RECOVERY_FACTOR)
    }
}

fn is_recent(now: Duration, at: Option<Duration>, within: Duration) -> bool {
    at.is_some_and(|at| now < at + within)
}

/// Returns the weight of a sample in an average with time constant `time`, at a mean interval of
/// `interval` seconds.
fn sample_weight(interval: f64, time: Duration) -> f64 {
    let weight = interval / time.as_secs_f64();
    weight.clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT)
}

/// Returns the step for an average of time taken divided by objective. A step of 15 is raised to
/// 16: from 15, a return to 16 would be a change of less than [`MIN_CHANGE`].
fn step_of(ratio: f64) -> u8 {
    if ratio <= FULL_RATIO {
        return FULL_STEP;
    }
    let step = (f64::from(FULL_STEP) * FULL_RATIO / ratio).round();
    let step = step.max(1.0) as u8;
    if step + 1 >= FULL_STEP {
        FULL_STEP
    } else {
        step
    }
}

/// Returns the average for which a step stands.
fn ratio_of(step: u8) -> f64 {
    f64::from(FULL_STEP) * FULL_RATIO / f64::from(step)
}
