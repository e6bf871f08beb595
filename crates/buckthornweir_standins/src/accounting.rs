//! Compares the records of callers with those of backend servers and counts faults.

use std::collections::HashMap;

use http::StatusCode;
use smol_str::SmolStr;

use crate::backend::{Backend, BackendRecord};
use crate::caller::{CallerAnswer, Error, Result};

/// The requests that one backend server recorded.
#[derive(Clone, Debug)]
pub struct BackendLog {
    /// The backend server's name.
    pub backend: SmolStr,
    /// The service that it belongs to.
    pub service: SmolStr,
    /// The recorded requests, in order of arrival.
    pub entries: Vec<BackendRecord>,
}

impl From<&Backend> for BackendLog {
    fn from(backend: &Backend) -> Self {
        Self {
            backend: backend.name().clone(),
            service: backend.service().clone(),
            entries: backend.records(),
        }
    }
}

/// The result of one request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response from a backend server.
    Answered {
        /// The service in the response's body.
        service: SmolStr,
        /// The request id in the response's body.
        request_id: SmolStr,
    },
    /// A complete response which states that the request was not run.
    NotRun,
    /// Any other complete response without a success status, such as 502 or 504. It is not known
    /// whether the request ran.
    Unknown(StatusCode),
    /// A response with a success status whose body a backend server didn't write.
    Strange(StatusCode),
    /// An incomplete response: the connection broke after the headers.
    Short,
    /// The connection was closed before anything of the request was sent.
    Unsent,
    /// The connection could not be established, or broke before the response's headers.
    Broken,
    /// The caller's timeout passed.
    TimedOut,
}

impl Outcome {
    /// Returns the outcome for a caller's result.
    #[must_use]
    pub fn of(result: &Result<CallerAnswer>) -> Self {
        match result {
            Ok(answer) => Self::of_answer(answer),
            Err(Error::Short(..)) => Self::Short,
            Err(Error::Unsent(_)) => Self::Unsent,
            Err(_) => Self::Broken,
        }
    }

    fn of_answer(answer: &CallerAnswer) -> Self {
        if answer.says_not_run() {
            return Self::NotRun;
        }
        if !answer.status.is_success() {
            return Self::Unknown(answer.status);
        }
        match answer.echo() {
            Some(echo) => Self::Answered {
                service: echo.service,
                request_id: echo.request_id,
            },
            None => Self::Strange(answer.status),
        }
    }
}

/// Properties of a request that are known to its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traits {
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// One request, as its caller recorded it.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The id in the request's header, unique among all callers.
    pub request_id: SmolStr,
    /// The service that it was sent to.
    pub service: SmolStr,
    /// Properties of the request.
    pub traits: Traits,
    /// The result that the caller saw.
    pub outcome: Outcome,
}

/// The number of requests and runs per kind of result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that callers sent.
    pub sent: usize,
    /// Complete responses of the right service to the caller's own request.
    pub answered: usize,
    /// Refusals which rightly state that the request was not run.
    pub refused: usize,
    /// Requests that were never sent, because the connection was closed between two requests.
    pub unsent: usize,
    /// Complete responses that claim neither success nor that the request was not run.
    pub unknown: usize,
    /// Requests without a complete response.
    pub lost: usize,
    /// Incomplete responses, which are counted as lost too.
    pub short: usize,
    /// Answers for another request than the caller's own.
    pub crossed: usize,
    /// Responses of another service, and runs at another service.
    pub wrong_service: usize,
    /// Success responses to requests that no backend server ran, or whose body no backend server
    /// wrote.
    pub unfounded: usize,
    /// Refusals which state that the request was not run, although it ran.
    pub false_refusals: usize,
    /// Non-repeatable requests that ran more than once.
    pub doubled: usize,
    /// Repeatable requests that ran more than once.
    pub repeated: usize,
}

/// Counts the results in the records of callers and of backend servers.
#[must_use]
pub fn tally(callers: &[CallerRecord], backends: &[BackendLog]) -> Tally {
    let runs = runs(backends);
    let mut tally = Tally {
        sent: callers.len(),
        ..Tally::default()
    };
    for record in callers {
        let services = runs.get(&record.request_id).map_or(&[][..], Vec::as_slice);
        tally.count_outcome(record, services.len());
        tally.count_runs(record, services);
    }
    tally
}

impl Tally {
    fn count_outcome(&mut self, record: &CallerRecord, runs: usize) {
        match &record.outcome {
            Outcome::Answered { service, .. } if *service != record.service => {
                self.wrong_service += 1;
            }
            Outcome::Answered { request_id, .. } if *request_id != record.request_id => {
                self.crossed += 1;
            }
            Outcome::Answered { .. } if runs == 0 => self.unfounded += 1,
            Outcome::Answered { .. } => self.answered += 1,
            Outcome::Strange(_) => self.unfounded += 1,
            Outcome::NotRun if runs > 0 => self.false_refusals += 1,
            Outcome::NotRun => self.refused += 1,
            Outcome::Unsent => self.unsent += 1,
            Outcome::Unknown(_) => self.unknown += 1,
            Outcome::Short => {
                self.short += 1;
                self.lost += 1;
            }
            Outcome::Broken | Outcome::TimedOut => self.lost += 1,
        }
    }

    fn count_runs(&mut self, record: &CallerRecord, services: &[&SmolStr]) {
        self.wrong_service += services
            .iter()
            .filter(|service| **service != &record.service)
            .count();
        if services.len() < 2 {
            return;
        }
        if record.traits.repeatable {
            self.repeated += 1;
        } else {
            self.doubled += 1;
        }
    }
}

/// Returns the services at which each request ran, one item per run.
fn runs(backends: &[BackendLog]) -> HashMap<&SmolStr, Vec<&SmolStr>> {
    let mut runs: HashMap<_, Vec<_>> = HashMap::new();
    for log in backends {
        for entry in log.entries.iter().filter(|entry| entry.end.ran()) {
            runs.entry(&entry.request_id)
                .or_default()
                .push(&log.service);
        }
    }
    runs
}
