//! Which log filters are taken.

use buckthornweir_events::{LogFormat, log_filter, start_logs};

#[test]
fn a_filter_is_a_level_or_directives() {
    let rows = [
        ("info", true),
        ("warn,buckthornweir_daemon=debug", true),
        ("off", true),
        ("", false),
        ("a=b=c", false),
        ("info,[", false),
        ("buckthornweir_daemon=loud", false),
    ];
    for (text, taken) in rows {
        assert_eq!(log_filter(text).is_ok(), taken, "{text}");
    }
}

#[test]
fn logs_start_once_with_a_filter_that_is_understood() {
    assert!(start_logs(LogFormat::Json, "a=b=c").is_err());
    assert!(start_logs(LogFormat::Json, "info").is_ok());
    assert!(
        start_logs(LogFormat::Text, "info").is_err(),
        "set up before"
    );
}
