//! Counts what went wrong, from the books of callers and of backend servers.

use std::collections::HashMap;

use http::StatusCode;
use smol_str::SmolStr;

use crate::backend::{Backend, BookEntry};
use crate::caller::{CallerAnswer, Error, Result};

/// The books of one backend server.
#[derive(Clone, Debug)]
pub struct BackendBooks {
    /// The backend server's name.
    pub backend: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Its entries, in order of arrival.
    pub entries: Vec<BookEntry>,
}

impl From<&Backend> for BackendBooks {
    fn from(backend: &Backend) -> Self {
        Self {
            backend: backend.name().clone(),
            service: backend.service().clone(),
            entries: backend.books(),
        }
    }
}

/// What a caller got for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of a backend server.
    Answered {
        /// The service that the answer names.
        service: SmolStr,
        /// The request id that the answer names.
        request_id: SmolStr,
    },
    /// An answer that says that the request was not run.
    NotRun,
    /// Another whole answer that is no success, such as 502 or 504: what became is not known.
    Unknown(StatusCode),
    /// An answer with the status of a success whose body is not a backend server's.
    Strange(StatusCode),
    /// An answer that broke off.
    Short,
    /// The connection was closed before anything of the request was sent.
    Unsent,
    /// The connection broke, or never stood, before any answer.
    Broken,
    /// The caller gave up waiting.
    TimedOut,
}

impl Outcome {
    /// Returns the outcome that a caller's result stands for.
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

/// Properties of a request that its caller knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traits {
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// One request in the books of the callers.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// The id in the request's header, unique over all callers.
    pub request_id: SmolStr,
    /// The service that it was sent to.
    pub service: SmolStr,
    /// What kind of request it was.
    pub traits: Traits,
    /// What the caller got.
    pub outcome: Outcome,
}

/// How often each thing happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that callers sent.
    pub sent: usize,
    /// Whole answers of the right service to the caller's own request.
    pub answered: usize,
    /// Refusals that say that the request was not run.
    pub refused: usize,
    /// Requests that were never sent, because the connection was closed between two requests.
    pub unsent: usize,
    /// Honest errors: a whole answer that claims neither success nor "not run".
    pub unknown: usize,
    /// Requests whose caller got no whole answer at all.
    pub lost: usize,
    /// Answers that broke off; they count as lost too.
    pub short: usize,
    /// Answers for another request than the caller's own.
    pub crossed: usize,
    /// Answers of another service, and requests that ran at another service.
    pub wrong_service: usize,
    /// Successes for a request that no backend server has in its books.
    pub unfounded: usize,
    /// Refusals that say "not run" of a request that ran.
    pub false_refusals: usize,
    /// Requests that may not be repeated, and ran more than once.
    pub doubled: usize,
    /// Requests that may be repeated, and ran more than once.
    pub repeated: usize,
}

/// Compares the books of callers and of backend servers.
#[must_use]
pub fn tally(callers: &[CallerRecord], backends: &[BackendBooks]) -> Tally {
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

/// Returns the services that each request ran at, once per run.
fn runs(backends: &[BackendBooks]) -> HashMap<&SmolStr, Vec<&SmolStr>> {
    let mut runs: HashMap<_, Vec<_>> = HashMap::new();
    for books in backends {
        for entry in books.entries.iter().filter(|entry| entry.end.ran()) {
            runs.entry(&entry.request_id)
                .or_default()
                .push(&books.service);
        }
    }
    runs
}
