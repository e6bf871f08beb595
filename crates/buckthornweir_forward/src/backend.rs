//! What an agent knows of its backend server, and whether that takes a new flow.
//!
//! Answers the load of new flows at one backend server: it gets none while it leaves or its failure
//! domain is out, few while it is cold or may have restarted, and while all its slots are taken new
//! flows go elsewhere.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

/// The span in which new flows of a cold backend server are counted: one second, and a tenth more since
/// the packets take time to arrive.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// New flows that a cold backend server is spared of its bound, for packets that arrive bunched.
const COLD_RESERVE_FLOWS: f64 = 1.0;

/// How much longer than it says a backend server counts as cold: reports state whole milliseconds, and
/// timers of two processes end some milliseconds apart.
const COLD_MARGIN: Duration = Duration::from_millis(20);

/// How long a report may be on its way; a report that arrives later than this after a doubt arose was
/// sent after it.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(300);

/// How long SYNs may stay without any packet of the backend server before it counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// How many SYNs must be without answer before the backend server counts as silent.
const MAX_UNANSWERED_SYNS: u32 = 3;

/// How long new flows go elsewhere after the backend server returned a SYN.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// How many report periods may pass without a report before the backend server counts as lost.
const MAX_MISSED_REPORTS: u32 = 3;

/// What a backend server says about leaving.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportState {
    /// It takes new flows.
    Ready,
    /// It is about to leave.
    Draining,
}

/// What a backend server says about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Its name, which it may keep over a restart.
    pub id: SmolStr,
    /// When it started, in milliseconds of its own clock.
    pub born: u64,
    /// Number of the report since the start.
    pub sequence: u64,
    /// Whether it leaves.
    pub state: ReportState,
    /// How much longer it stays cold.
    pub cold: Duration,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reported {
    /// It is older than one that came before, or of an earlier start.
    Stale,
    /// It is of the start that is known.
    Known,
    /// The backend server started anew and holds none of the flows of before.
    Restarted,
}

/// Why a backend server gets no new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shut {
    /// It has not reported yet.
    Unknown,
    /// It leaves.
    Draining,
    /// It has left.
    Gone,
    /// Its failure domain is out.
    DomainOut,
    /// It answers no packets, or its reports stopped.
    Silent,
    /// It is cold, or may be, and got what it bears.
    Cold,
}

/// Whether a backend server gets a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It has room.
    Open,
    /// It would queue the request.
    Busy,
    /// It gets none.
    Shut(Shut),
}

/// Whether the backend server is there, as far as its reports tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Presence {
    /// It reports.
    Reporting,
    /// It has not reported yet, and a report is not overdue.
    Unknown,
    /// It has left, or its reports stopped.
    Gone,
}

/// Bounds for cold backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// What the rate that it bears is multiplied with.
    pub factor: f64,
    /// New flows that it gets in a second besides.
    pub slack: f64,
}

/// What is known of the backend server beside an agent.
#[derive(Clone, Debug)]
pub struct Backend {
    bound: ColdBound,
    report_period: Duration,
    report: Option<Report>,
    reported_at: Duration,
    gone: bool,
    cold_until: Duration,
    /// Since when the backend server may have turned cold without a report of it.
    suspected_since: Option<Duration>,
    recent_syns: VecDeque<Duration>,
    unanswered: u32,
    unanswered_since: Duration,
    silent: bool,
    busy_until: Duration,
}

impl Backend {
    /// Returns a backend server that has not reported; `report_period` is the time between reports.
    #[must_use]
    pub fn new(bound: ColdBound, report_period: Duration) -> Self {
        Self {
            bound,
            report_period,
            report: None,
            reported_at: Duration::ZERO,
            gone: false,
            cold_until: Duration::ZERO,
            suspected_since: None,
            recent_syns: VecDeque::new(),
            unanswered: 0,
            unanswered_since: Duration::ZERO,
            silent: false,
            busy_until: Duration::ZERO,
        }
    }

    /// Returns the last report that counts.
    #[must_use]
    pub fn last_report(&self) -> Option<&Report> {
        self.report.as_ref()
    }

    /// Takes a report.
    pub fn report(&mut self, now: Duration, report: Report) -> Reported {
        let order = |r: &Report| (r.born, r.sequence);
        let known = self.report.as_ref();
        if known.is_some_and(|known| order(&report) <= order(known)) {
            return Reported::Stale;
        }
        let restarted = known.is_some_and(|known| known.born != report.born);
        let first = known.is_none();
        if restarted {
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

    /// Notes that the backend server with this name says that it has left.
    pub fn note_left(&mut self, id: &str) {
        if self.report.as_ref().is_some_and(|r| r.id == id) {
            self.gone = true;
        }
    }

    /// Notes that the backend server may have turned cold: it lost a flow, or its failure domain was
    /// taken back.
    pub fn suspect_cold(&mut self, now: Duration) {
        self.suspected_since = Some(now);
    }

    /// Notes that a SYN was delivered.
    pub fn note_syn(&mut self, now: Duration) {
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
        self.recent_syns.push_back(now);
    }

    /// Notes a packet of the backend server.
    pub fn note_packet(&mut self) {
        self.unanswered = 0;
        self.silent = false;
    }

    /// Notes that the backend server returned a SYN.
    pub fn note_returned_syn(&mut self, now: Duration) {
        self.busy_until = now + BUSY_PAUSE;
    }

    /// Returns whether flows of callers may still be held by the backend server.
    #[must_use]
    pub fn is_present(&self) -> bool {
        !self.gone
    }

    /// Returns whether the backend server is there, as far as its reports tell.
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

    /// Returns whether the next report should have come long ago; an agent that has just started waits as
    /// long for the first one.
    fn is_overdue(&self, now: Duration) -> bool {
        now >= self.reported_at + self.report_period * MAX_MISSED_REPORTS
    }

    /// Returns whether the backend server takes new flows at all, whatever its load.
    #[must_use]
    pub fn accepts(&mut self, now: Duration) -> bool {
        self.shut_reason(now).is_none()
    }

    /// Decides whether the backend server gets a new flow; `running` requests run there, and a cold one
    /// bears `cold_rate` a second, if that is known.
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

    /// Returns the slots that the last report named.
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

    /// Returns how long a new flow waits behind `waiting` others that a cold backend server gets first.
    #[must_use]
    pub fn cold_wait(&self, now: Duration, cold_rate: Option<f64>, waiting: usize) -> Duration {
        let Some(rate) = cold_rate else {
            return Duration::ZERO;
        };
        let ahead = (self.recent_syns.len() + waiting).checked_sub(self.cold_capacity(rate).max(1));
        let Some(ahead) = ahead else {
            return Duration::ZERO;
        };
        // Its turn comes when the flow that is `ahead` of it, counted over the spans, is no longer counted.
        let windows = ahead / self.recent_syns.len().max(1) + 1;
        let turn = self.recent_syns.get(ahead % self.recent_syns.len().max(1));
        let turn = turn.copied().unwrap_or(now);
        (turn + COLD_WINDOW * u32::try_from(windows).unwrap_or(u32::MAX)).saturating_sub(now)
    }

    /// Returns how many new flows a cold backend server gets in [`COLD_WINDOW`].
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
        self.recent_syns.len() < self.cold_capacity(rate)
    }

    /// Forgets new flows that no bound counts any more.
    pub fn sweep(&mut self, now: Duration) {
        self.recent_syns.retain(|at| now < *at + COLD_WINDOW);
    }
}
