//! The state of an agent's backend server, and its admission of new flows.
//!
//! Bounds the load of new flows on a backend server: it gets none while it drains or its failure
//! domain is out, and few while it is cold or may have restarted. While all its slots are in use,
//! new flows go elsewhere.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

/// Sliding window for counting the new flows of a cold backend server: one second, and 10% more
/// because packets arrive with varying delays.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// New flows subtracted from a cold backend server's bound to allow for packets that arrive in
/// bursts.
const COLD_RESERVE_FLOWS: f64 = 1.0;

/// How much longer than reported a backend server counts as cold. Reports state whole milliseconds,
/// and the timers of two processes expire a few milliseconds apart.
const COLD_MARGIN: Duration = Duration::from_millis(20);

/// Maximum transit time of a report. A report that arrives later than this after a suspicion arose
/// was sent after it.
pub(crate) const MAX_REPORT_DELAY: Duration = Duration::from_millis(300);

/// How long SYNs may go without any packet of the backend server before it counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of unanswered SYNs after which the backend server may count as silent.
const MAX_UNANSWERED_SYNS: u32 = 3;

/// How long new flows go elsewhere after the backend server returned a SYN.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Number of report intervals without a report after which the backend server counts as lost.
const MAX_MISSED_REPORTS: u32 = 3;

/// Number of successive older reports after which they are trusted in place of the last one that was
/// taken: a single report may be late, and a single one may state a wrong start or number.
const MAX_STALE_REPORTS: u32 = 3;

/// Whether a backend server is draining.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportState {
    /// It accepts new flows.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A backend server's report about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Name of the backend server, which may stay the same across restarts.
    pub id: SmolStr,
    /// Start time, in milliseconds of the backend server's own clock; 0 if it does not state it.
    pub born: u64,
    /// Number of the report since that start.
    pub sequence: u64,
    /// Whether the backend server is draining.
    pub state: ReportState,
    /// Remaining time until the backend server is warm.
    pub cold: Duration,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reported {
    /// The report is older than the last one, or belongs to an earlier start.
    Stale,
    /// The report belongs to the known start of the backend server.
    Known,
    /// The backend server has restarted and lost all flows.
    Restarted,
}

/// The reason why a backend server accepts no new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shut {
    /// It has not reported yet.
    Unknown,
    /// It is draining.
    Draining,
    /// It has left.
    Gone,
    /// Its failure domain is out.
    DomainOut,
    /// It does not answer packets, or its reports stopped.
    Silent,
    /// It is cold, or may be, and has reached its bound.
    Cold,
}

/// Whether a backend server is given a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It has a free slot.
    Open,
    /// It would queue the request.
    Busy,
    /// It accepts no new flow.
    Shut(Shut),
}

/// Whether the backend server is present, according to its reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It reports.
    Reporting,
    /// It has not reported yet, and its report is not overdue.
    Unknown,
    /// It has left, or its reports stopped.
    Gone,
}

/// The bound on new flows for a cold backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor applied to the service's cold rate.
    pub factor: f64,
    /// New flows per second allowed in addition.
    pub slack: f64,
}

/// Older reports of one start that have arrived since a report was last taken.
#[derive(Clone, Debug)]
struct StaleReports {
    id: SmolStr,
    born: u64,
    sequence: u64,
    count: u32,
    counted_at: Duration,
}

/// The state of an agent's backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    bound: ColdBound,
    report_period: Duration,
    report: Option<Report>,
    reported_at: Duration,
    stale: Option<StaleReports>,
    gone: bool,
    cold_until: Duration,
    /// Since when the backend server may have turned cold without having reported it.
    suspected_since: Option<Duration>,
    recent_syns: VecDeque<Duration>,
    /// Until when new flows that an earlier agent delivered may count towards the cold bound.
    earlier_syns_until: Duration,
    unanswered: u32,
    unanswered_since: Duration,
    silent: bool,
    busy_until: Duration,
}

impl Backend {
    /// Returns a backend server that has not reported; `report_period` is the interval between
    /// reports.
    #[must_use]
    pub fn new(bound: ColdBound, report_period: Duration) -> Self {
        Self {
            bound,
            report_period,
            report: None,
            reported_at: Duration::ZERO,
            stale: None,
            gone: false,
            cold_until: Duration::ZERO,
            suspected_since: None,
            recent_syns: VecDeque::new(),
            earlier_syns_until: Duration::ZERO,
            unanswered: 0,
            unanswered_since: Duration::ZERO,
            silent: false,
            busy_until: Duration::ZERO,
        }
    }

    /// Returns the last report that was not stale.
    #[must_use]
    pub fn last_report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Returns when the last report arrived that was not stale.
    pub(crate) fn reported_at(&self) -> Duration {
        self.reported_at
    }

    /// Handles a report.
    ///
    /// A report that is older than the last one is stale, unless reports like it keep coming: then the
    /// clock of the backend server was set back before a restart, or the last report that was taken
    /// stated a wrong start or number.
    pub fn report(&mut self, now: Duration, report: Report) -> Reported {
        let order = |r: &Report| (r.born, r.sequence);
        let known = self.report.as_ref();
        let is_older = known.is_some_and(|known| order(&report) <= order(known));
        let is_repeated = known.is_some_and(|known| order(&report) == order(known));
        if is_repeated || (is_older && !self.outnumbers_known(now, &report)) {
            return Reported::Stale;
        }
        self.stale = None;
        let known = self.report.as_ref();
        let restarted = known.is_some_and(|known| match is_older {
            // The flows of a start that was stated wrongly go on.
            true => known.id != report.id,
            false => known.born != 0 && known.born != report.born,
        });
        let first = known.is_none();
        if restarted || is_older {
            self.gone = false;
            self.cold_until = Duration::ZERO;
        }
        self.reported_at = now;
        self.silent = false;
        self.unanswered = 0;
        self.cold_until = match report.cold {
            Duration::ZERO => now,
            cold => now + cold + COLD_MARGIN,
        };
        if restarted
            || first
            || self
                .suspected_since
                .is_some_and(|since| now >= since + MAX_REPORT_DELAY)
        {
            self.suspected_since = None;
        }
        self.report = Some(report);
        match restarted {
            true => Reported::Restarted,
            false => Reported::Known,
        }
    }

    /// Records an older report; returns whether reports like it are to be trusted from now on.
    ///
    /// Reports that arrive together count once: late ones do, those of a living backend server do not.
    fn outnumbers_known(&mut self, now: Duration, report: &Report) -> bool {
        let same_start = |s: &&mut StaleReports| s.born == report.born && s.id == report.id;
        let Some(stale) = self.stale.as_mut().filter(same_start) else {
            self.stale = Some(StaleReports {
                id: report.id.clone(),
                born: report.born,
                sequence: report.sequence,
                count: 1,
                counted_at: now,
            });
            return false;
        };
        if report.sequence <= stale.sequence {
            return false;
        }
        stale.sequence = report.sequence;
        if now < stale.counted_at + self.report_period / 2 {
            return false;
        }
        stale.count += 1;
        stale.counted_at = now;
        stale.count >= MAX_STALE_REPORTS
    }

    /// Records that the backend server `id` announced that it has left.
    pub fn note_left(&mut self, id: &str) {
        if self.report.as_ref().is_some_and(|r| r.id == id) {
            self.gone = true;
        }
    }

    /// Records that the backend server may have turned cold because it lost a flow or its failure
    /// domain was brought back.
    pub fn suspect_cold(&mut self, now: Duration) {
        self.suspected_since = Some(now);
    }

    /// Records that a SYN was delivered.
    pub fn note_syn(&mut self, now: Duration) {
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
        self.recent_syns.push_back(now);
    }

    /// Records that an earlier agent may have delivered new flows until `ended`.
    ///
    /// Their number is unknown, so a cold backend server counts as having got all it bears.
    pub fn note_earlier_agent(&mut self, ended: Duration) {
        self.earlier_syns_until = ended + COLD_WINDOW;
    }

    /// Records a packet of the backend server.
    pub fn note_packet(&mut self) {
        self.unanswered = 0;
        self.silent = false;
    }

    /// Records that the backend server returned a SYN.
    pub fn note_returned_syn(&mut self, now: Duration) {
        self.busy_until = now + BUSY_PAUSE;
    }

    /// Returns whether the backend server may still hold flows of callers.
    #[must_use]
    pub fn is_present(&self) -> bool {
        !self.gone
    }

    /// Returns whether the backend server is present, according to its reports.
    #[must_use]
    pub fn presence(&self, now: Duration) -> Presence {
        if self.gone || self.is_overdue(now) {
            return Presence::Gone;
        }
        match self.report {
            Some(_) => Presence::Reporting,
            None => Presence::Unknown,
        }
    }

    /// Returns whether the next report is overdue. An agent that has just started waits for the
    /// first report equally long.
    fn is_overdue(&self, now: Duration) -> bool {
        now >= self.reported_at + self.report_period * MAX_MISSED_REPORTS
    }

    /// Returns whether the backend server accepts new flows, regardless of its load.
    #[must_use]
    pub fn accepts(&mut self, now: Duration) -> bool {
        self.shut_reason(now).is_none()
    }

    /// Decides whether the backend server is given a new flow while `running` requests run there.
    /// `cold_rate` is the rate of new flows per second that it handles while cold, if known.
    pub fn admission(
        &mut self,
        now: Duration,
        cold_rate: Option<f64>,
        running: usize,
    ) -> Admission {
        if let Some(shut) = self.shut_reason(now) {
            return Admission::Shut(shut);
        }
        if self.is_cold(now) && !self.has_cold_capacity(now, cold_rate) {
            return Admission::Shut(Shut::Cold);
        }
        let slots = self.report.as_ref().map_or(0, |r| r.slots) as usize;
        if running >= slots || now < self.busy_until {
            return Admission::Busy;
        }
        Admission::Open
    }

    /// Returns whether the backend server is cold, or may be.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        self.suspected_since.is_some() || now < self.cold_until
    }

    /// Returns the number of slots in the last report.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.report.as_ref().map_or(0, |r| r.slots)
    }

    fn shut_reason(&mut self, now: Duration) -> Option<Shut> {
        let Some(report) = &self.report else {
            return Some(Shut::Unknown);
        };
        if self.gone {
            return Some(Shut::Gone);
        }
        if report.state == ReportState::Draining {
            return Some(Shut::Draining);
        }
        let unresponsive = self.unanswered >= MAX_UNANSWERED_SYNS
            && now >= self.unanswered_since + SILENCE_TIMEOUT;
        if unresponsive && !self.silent {
            self.silent = true;
            self.suspected_since = Some(now);
        }
        let lost = self.is_overdue(now);
        if lost && self.suspected_since.is_none() {
            self.suspected_since = Some(now);
        }
        (self.silent || lost).then_some(Shut::Silent)
    }

    /// Returns how long a new flow has to wait behind `waiting` others for a cold backend server.
    #[must_use]
    pub fn cold_wait(&self, now: Duration, cold_rate: Option<f64>, waiting: usize) -> Duration {
        let Some(rate) = cold_rate else {
            return Duration::ZERO;
        };
        let capacity = self.cold_capacity(rate).max(1);
        if now < self.earlier_syns_until {
            let windows = u32::try_from(waiting / capacity).unwrap_or(u32::MAX);
            return (self.earlier_syns_until - now).saturating_add(COLD_WINDOW * windows);
        }
        let ahead = (self.recent_syns.len() + waiting).checked_sub(capacity);
        let Some(ahead) = ahead else {
            return Duration::ZERO;
        };
        // The flow can be admitted once the flow at position `ahead`, counted over successive
        // windows, leaves the window.
        let windows = ahead / self.recent_syns.len().max(1) + 1;
        let turn = self.recent_syns.get(ahead % self.recent_syns.len().max(1));
        let turn = turn.copied().unwrap_or(now);
        (turn + COLD_WINDOW * u32::try_from(windows).unwrap_or(u32::MAX)).saturating_sub(now)
    }

    /// Returns how many new flows a cold backend server is given within [`COLD_WINDOW`].
    fn cold_capacity(&self, rate: f64) -> usize {
        (rate * self.bound.factor + self.bound.slack - COLD_RESERVE_FLOWS) as usize
    }

    fn has_cold_capacity(&mut self, now: Duration, cold_rate: Option<f64>) -> bool {
        let Some(rate) = cold_rate else {
            return true;
        };
        while self
            .recent_syns
            .front()
            .is_some_and(|at| now >= *at + COLD_WINDOW)
        {
            self.recent_syns.pop_front();
        }
        now >= self.earlier_syns_until && self.recent_syns.len() < self.cold_capacity(rate)
    }

    /// Removes new flows that are outside the window of the cold bound.
    pub fn sweep(&mut self, now: Duration) {
        self.recent_syns.retain(|at| now < *at + COLD_WINDOW);
    }
}
