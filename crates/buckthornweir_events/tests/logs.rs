//! Validation of log filters and initialization of logging.

use buckthornweir_events::{LogFormat, log_filter, start_logs};

#[test]
fn log_filter_accepts_levels_and_directives() {
    let rows = [
        ("info", true),
        ("warn,buckthornweir_daemon=debug", true),
        ("off", true),
        ("", false),
        ("a=b=c", false),
        ("info,[", false),
        ("buckthornweir_daemon=loud", false),
    ];
    for (text, valid) in rows {
        assert_eq!(log_filter(text).is_ok(), valid, "{text}");
    }
}

#[test]
fn logging_starts_once_and_only_with_a_valid_filter() {
    assert!(start_logs(LogFormat::Json, "a=b=c").is_err());
    assert!(start_logs(LogFormat::Json, "info").is_ok());
    assert!(
        start_logs(LogFormat::Text, "info").is_err(),
        "already initialized"
    );
}
