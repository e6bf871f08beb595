//! Admission of new flows by a backend server's reports and packets.

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
fn reports_are_ordered_by_start_and_sequence() {
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
fn admission_while_leaving_and_after_a_restart() {
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
fn missing_reports_stop_admission() {
    let mut backend = backend();
    backend.report(ms(0), report(1));
    assert_eq!(backend.admission(ms(2_900), None, 0), Admission::Open);
    assert_eq!(backend.admission(ms(3_000), None, 0), shut(Shut::Silent));
    backend.report(ms(3_100), report(2));
    assert_eq!(backend.admission(ms(3_100), None, 0), Admission::Open);
}

#[test]
fn unanswered_syns_stop_admission() {
    let mut backend = backend();
    backend.report(ms(0), report(1));
    for at in [10, 20, 30] {
        backend.note_syn(ms(at));
    }
    assert_eq!(
        backend.admission(ms(100), None, 0),
        Admission::Open,
        "within the timeout"
    );
    assert_eq!(backend.admission(ms(160), None, 0), shut(Shut::Silent));
    backend.note_packet();
    assert_eq!(backend.admission(ms(170), None, 0), Admission::Open);
    // The backend server may have restarted in the meantime and be cold.
    assert!(backend.is_cold(ms(170)));
    backend.report(ms(200), report(2));
    assert!(
        backend.is_cold(ms(200)),
        "possibly sent before the suspicion"
    );
    backend.report(ms(1_200), report(3));
    assert!(!backend.is_cold(ms(1_200)));
}

#[test]
fn presence_follows_reports() {
    let after = |backend: &Backend, periods: f64| backend.presence(REPORT_PERIOD.mul_f64(periods));
    // No report since the agent's start.
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

/// No interval of one second contains more new flows than the bound of a cold backend server.
#[test]
fn a_cold_backend_server_stays_within_its_bound() {
    for (rate, bound) in [(2.0, 8.0), (10.0, 20.0), (0.5, 5.75)] {
        let mut backend = backend();
        backend.report(
            ms(0),
            Report {
                cold: ms(4_000),
                ..report(1)
            },
        );
        let mut accepted: Vec<Duration> = Vec::new();
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
                accepted.push(at);
            }
        }
        for at in &accepted {
            let second = accepted
                .iter()
                .filter(|t| *t >= at && **t < *at + ms(1_000));
            assert!(second.count() as f64 <= bound, "rate {rate} at {at:?}");
        }
        assert!(
            accepted.len() as f64 >= 3.0 * (bound - 2.0),
            "the bound is mostly used"
        );
        assert_eq!(backend.admission(ms(4_100), Some(rate), 0), Admission::Open);
    }
}

/// Reports state whole milliseconds, and the timers of two processes don't expire simultaneously.
#[test]
fn a_backend_server_is_cold_slightly_longer_than_reported() {
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
fn cold_suspicion_lasts_until_a_report_sent_after_it() {
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
    assert!(
        backend.is_cold(ms(4_269)),
        "the restarted backend server reported it"
    );
    assert!(!backend.is_cold(ms(4_270)));
}

/// Guards against a backend server that is not heard until its agent restarts: the last report that was
/// taken stated a start or a number beyond all later ones, or the clock of the backend server was set
/// back before it started again.
#[test]
fn older_reports_that_keep_coming_are_taken() {
    let other = |id: &str, born, sequence| Report {
        id: id.into(),
        born,
        ..report(sequence)
    };
    let odd_start = other("i-1", 5_000_000, 4);
    let odd_number = other("i-1", 1_000_000, 1 << 50);
    let cases = [
        ("odd start", odd_start, "i-1", 1_000_000, Reported::Known),
        ("odd number", odd_number, "i-1", 1_000_000, Reported::Known),
        ("clock set back", report(4), "i-1", 900_000, Reported::Known),
        ("new server", report(4), "i-2", 900_000, Reported::Restarted),
        (
            "no start",
            other("i-1", 0, 9),
            "i-2",
            0,
            Reported::Restarted,
        ),
    ];
    for (name, last, id, born, expected) in cases {
        let mut backend = backend();
        let mut now = ms(1_000);
        backend.report(now, last.clone());
        for sequence in 5..=7 {
            now += REPORT_PERIOD * 9 / 10;
            let reported = backend.report(now, other(id, born, sequence));
            let expected = if sequence < 7 {
                Reported::Stale
            } else {
                expected
            };
            assert_eq!(reported, expected, "{name}: {sequence}");
            // The report that was taken before may arrive again.
            if sequence < 7 {
                assert_eq!(backend.report(now, last.clone()), Reported::Stale, "{name}");
            }
        }
        let next = backend.report(now, other(id, born, 8));
        assert_eq!(next, Reported::Known, "{name}");
        assert_eq!(backend.admission(now, None, 0), Admission::Open, "{name}");
    }
}

/// Guards against late reports of an earlier start that are taken for a restart, which would reset all
/// open flows.
#[test]
fn older_reports_that_arrive_together_or_between_others_are_stale() {
    let late = |sequence| Report {
        born: 900_000,
        ..report(sequence)
    };
    let mut backend = backend();
    let mut now = ms(1_000);
    backend.report(now, report(1));
    for sequence in 1..=20 {
        assert_eq!(backend.report(now, late(sequence)), Reported::Stale);
    }
    for sequence in 2..=10 {
        now += REPORT_PERIOD;
        assert_eq!(backend.report(now, late(sequence + 20)), Reported::Stale);
        assert_eq!(backend.report(now, report(sequence)), Reported::Known);
    }
}

/// Guards against open flows that are reset when a backend server states its start for the first time.
#[test]
fn start_that_is_stated_later_is_no_restart() {
    let mut backend = backend();
    let without_start = Report {
        born: 0,
        ..report(1)
    };
    assert_eq!(backend.report(ms(1_000), without_start), Reported::Known);
    assert_eq!(backend.report(ms(2_000), report(2)), Reported::Known);
    let restarted = Report {
        born: 2_000_000,
        ..report(1)
    };
    assert_eq!(backend.report(ms(3_000), restarted), Reported::Restarted);
}
