//! What a backend server gets, by what it says and does.

use std::time::Duration;

use buckthornweir_forward::backend::{
    Admission, Backend, ColdBound, Presence, Report, ReportState, Reported, Shut,
};

use crate::common::{REPORT_PERIOD, ms, report};

fn backend() -> Backend {
    let bound = ColdBound {
        factor: 1.5,
        slack: 5.0,
    };
    Backend::new(bound, REPORT_PERIOD)
}

fn shut(shut: Shut) -> Admission {
    Admission::Shut(shut)
}

#[test]
fn reports_count_by_start_and_number() {
    let other = |born, sequence| Report {
        born,
        ..report(sequence)
    };
    let table = [
        ("first", other(1_000, 4), Reported::Known),
        ("again", other(1_000, 4), Reported::Stale),
        ("earlier", other(1_000, 3), Reported::Stale),
        ("next", other(1_000, 5), Reported::Known),
        ("new start", other(2_000, 1), Reported::Restarted),
        (
            "late, of the start before",
            other(1_000, 900),
            Reported::Stale,
        ),
    ];
    let mut backend = backend();
    for (name, report, expected) in table {
        assert_eq!(backend.report(ms(1_000), report), expected, "{name}");
    }
    assert_eq!(backend.last_report().map(|r| r.born), Some(2_000));
}

#[test]
fn leaving_and_coming_back() {
    let now = ms(1_000);
    let mut backend = backend();
    assert_eq!(backend.admission(now, None, 0), shut(Shut::Unknown));
    backend.report(now, report(1));
    assert_eq!(backend.admission(now, None, 0), Admission::Open);
    assert_eq!(backend.admission(now, None, 2), Admission::Busy);
    backend.report(
        now,
        Report {
            state: ReportState::Draining,
            ..report(2)
        },
    );
    assert_eq!(backend.admission(now, None, 0), shut(Shut::Draining));
    backend.note_left("i-other");
    assert_eq!(backend.admission(now, None, 0), shut(Shut::Draining));
    backend.note_left("i-1");
    assert_eq!(backend.admission(now, None, 0), shut(Shut::Gone));
    backend.report(
        now,
        Report {
            born: 9_000_000,
            ..report(1)
        },
    );
    assert_eq!(
        backend.admission(now, None, 0),
        Admission::Open,
        "a new start"
    );
}

#[test]
fn reports_that_stop_close_the_backend_server() {
    let mut backend = backend();
    backend.report(ms(0), report(1));
    assert_eq!(backend.admission(ms(2_900), None, 0), Admission::Open);
    assert_eq!(backend.admission(ms(3_000), None, 0), shut(Shut::Silent));
    backend.report(ms(3_100), report(2));
    assert_eq!(backend.admission(ms(3_100), None, 0), Admission::Open);
}

#[test]
fn unanswered_syns_close_the_backend_server() {
    let mut backend = backend();
    backend.report(ms(0), report(1));
    for at in [10, 20, 30] {
        backend.note_syn(ms(at));
    }
    assert_eq!(
        backend.admission(ms(100), None, 0),
        Admission::Open,
        "still in time"
    );
    assert_eq!(backend.admission(ms(160), None, 0), shut(Shut::Silent));
    backend.note_packet();
    assert_eq!(backend.admission(ms(170), None, 0), Admission::Open);
    // It may have restarted meanwhile, and then it is cold.
    assert!(backend.is_cold(ms(170)));
    backend.report(ms(200), report(2));
    assert!(backend.is_cold(ms(200)), "sent before the doubt, perhaps");
    backend.report(ms(1_200), report(3));
    assert!(!backend.is_cold(ms(1_200)));
}

#[test]
fn whether_the_backend_server_is_there() {
    let after = |backend: &Backend, periods: f64| backend.presence(REPORT_PERIOD.mul_f64(periods));
    // None has reported since the agent's start.
    let unheard = backend();
    assert_eq!(after(&unheard, 2.9), Presence::Unknown);
    assert_eq!(after(&unheard, 3.0), Presence::Gone);
    let mut reporting = backend();
    reporting.report(REPORT_PERIOD, report(1));
    assert_eq!(after(&reporting, 3.9), Presence::Reporting);
    assert_eq!(after(&reporting, 4.0), Presence::Gone);
    reporting.report(REPORT_PERIOD * 5, report(2));
    assert_eq!(after(&reporting, 5.1), Presence::Reporting);
    reporting.note_left("i-1");
    assert_eq!(after(&reporting, 5.1), Presence::Gone);
}

/// No second, wherever it begins, has more new flows than a cold backend server bears.
#[test]
fn a_cold_backend_server_gets_what_it_bears() {
    for (rate, bound) in [(2.0, 8.0), (10.0, 20.0), (0.5, 5.75)] {
        let mut backend = backend();
        backend.report(
            ms(0),
            Report {
                cold: ms(4_000),
                ..report(1)
            },
        );
        let mut taken: Vec<Duration> = Vec::new();
        for at in (0..4_000).map(ms) {
            backend.note_packet();
            if at.as_millis().is_multiple_of(500) {
                backend.report(
                    at,
                    Report {
                        cold: ms(4_000) - at,
                        ..report(at.as_millis() as u64)
                    },
                );
            }
            if backend.admission(at, Some(rate), 0) == Admission::Open {
                backend.note_syn(at);
                taken.push(at);
            }
        }
        for at in &taken {
            let second = taken.iter().filter(|t| *t >= at && **t < *at + ms(1_000));
            assert!(second.count() as f64 <= bound, "rate {rate} at {at:?}");
        }
        assert!(
            taken.len() as f64 >= 3.0 * (bound - 2.0),
            "it gets most of that"
        );
        assert_eq!(backend.admission(ms(4_100), Some(rate), 0), Admission::Open);
    }
}

/// A report states whole milliseconds, and two processes don't end a span in the same moment.
#[test]
fn a_backend_server_counts_as_cold_a_little_longer_than_it_says() {
    for (after, cold) in [(499, true), (502, true), (515, true), (530, false)] {
        let mut backend = backend();
        let report = Report {
            cold: ms(500),
            ..report(1)
        };
        backend.report(ms(1_000), report);
        assert_eq!(backend.is_cold(ms(1_000 + after)), cold, "{after}");
    }
    let mut warm = backend();
    warm.report(ms(1_000), report(1));
    assert!(!warm.is_cold(ms(1_000)));
}

#[test]
fn a_doubt_lasts_until_a_report_that_was_sent_after_it() {
    let mut backend = backend();
    backend.report(ms(0), report(1));
    backend.suspect_cold(ms(1_000));
    backend.report(ms(1_100), report(2));
    assert!(backend.is_cold(ms(1_100)));
    backend.report(ms(2_100), report(3));
    assert!(!backend.is_cold(ms(2_100)));
    backend.suspect_cold(ms(2_200));
    let restarted = Report {
        born: 5_000_000,
        cold: ms(2_000),
        ..report(1)
    };
    backend.report(ms(2_250), restarted);
    assert!(backend.is_cold(ms(4_269)), "its own word counts");
    assert!(!backend.is_cold(ms(4_270)));
}
