//! Decisions of a single holder.

use std::time::Duration;

use buckthornweir_requests::idempotency::{KeyAction, Keys, KeysConfig, Member};
use buckthornweir_requests::messages::{
    KeyClaim, KeyDone, KeyEnd, KeyRecord, KeyRecords, KeySync, KeyVerdict, RequestBody,
    StoredAnswer,
};
use buckthornweir_requests::{NodeId, ProblemKind, Refusal};

const OWN: NodeId = 1;
const CLAIMING_AGENT: NodeId = 9;
const NOW: Duration = Duration::from_secs(1);

fn holder(change: impl Fn(&mut KeysConfig)) -> Keys {
    let mut config = KeysConfig {
        settle_delay: Duration::ZERO,
        ..KeysConfig::default()
    };
    config.first_start = true;
    change(&mut config);
    let mut keys = Keys::new(Member::new(OWN, "a"), config, 7, Duration::ZERO);
    let _ = keys.tick(Duration::from_millis(1));
    keys
}

fn claim(claim: u64, key: &str) -> KeyClaim {
    KeyClaim {
        claim,
        key: key.into(),
        digest: 1,
        remaining_us: 1_000_000,
        holders: vec![OWN],
    }
}

fn end_message(claim: u64, end: KeyEnd, answer: Option<usize>) -> KeyDone {
    let body = |size| StoredAnswer {
        status: 201,
        body: vec![1; size],
        ..StoredAnswer::default()
    };
    let answer = answer.map(body);
    KeyDone {
        claim,
        key: "order".into(),
        digest: 1,
        end: end.into(),
        answer,
    }
}

/// Returns the verdict on a claim and whether it came with a stored response.
fn send_claim(keys: &mut Keys, now: Duration, message: KeyClaim) -> (KeyVerdict, bool) {
    let actions = keys.received(now, CLAIMING_AGENT, RequestBody::KeyClaim(message));
    match &actions[..] {
        [
            KeyAction::Send {
                to: CLAIMING_AGENT,
                body: RequestBody::KeyAnswer(answer),
            },
        ] => (
            answer.verdict.try_into().expect("known verdict"),
            answer.answer.is_some(),
        ),
        _ => panic!("{actions:?}"),
    }
}

fn send_end(keys: &mut Keys, message: KeyDone) {
    let actions = keys.received(NOW, CLAIMING_AGENT, RequestBody::KeyDone(message));
    assert_eq!(actions.len(), 1, "{actions:?}");
}

#[test]
fn verdict_follows_the_reported_ends() {
    use KeyEnd::{Done, NotRun, Unknown};
    // ends reported after claim 1 was granted, verdict on claim 3, whether with a stored response
    type Row = (&'static [(u64, KeyEnd)], KeyVerdict, bool);
    let table: [Row; 9] = [
        (&[], KeyVerdict::Running, false),
        (&[(1, NotRun)], KeyVerdict::Granted, false),
        (&[(2, NotRun)], KeyVerdict::Running, false),
        (&[(1, Unknown)], KeyVerdict::Unknown, false),
        (&[(1, Unknown), (1, NotRun)], KeyVerdict::Granted, false),
        (&[(1, Unknown), (1, Done)], KeyVerdict::Done, true),
        (&[(2, Done)], KeyVerdict::Done, true),
        (&[(2, Done), (1, NotRun)], KeyVerdict::Done, true),
        (&[(1, Done), (1, NotRun)], KeyVerdict::Done, true),
    ];
    for (ends, verdict, with_answer) in table {
        let mut keys = holder(|_| {});
        assert_eq!(
            send_claim(&mut keys, NOW, claim(1, "order")),
            (KeyVerdict::Granted, false)
        );
        assert_eq!(
            send_claim(&mut keys, NOW, claim(1, "order")),
            (KeyVerdict::Granted, false)
        );
        for &(id, end) in ends {
            send_end(&mut keys, end_message(id, end, (end == Done).then_some(5)));
        }
        assert_eq!(
            send_claim(&mut keys, NOW, claim(3, "order")),
            (verdict, with_answer),
            "{ends:?}"
        );
    }
}

#[test]
fn records_expire_and_are_bounded() {
    let mut keys = holder(|config| config.max_records = 2);
    for (id, key) in [(1, "a"), (2, "b")] {
        assert_eq!(
            send_claim(&mut keys, NOW, claim(id, key)).0,
            KeyVerdict::Granted
        );
    }
    assert_eq!(
        send_claim(&mut keys, NOW, claim(3, "c")).0,
        KeyVerdict::NotReady
    );
    let deadline = NOW + Duration::from_secs(1);
    let keep = KeysConfig::default().record_ttl;
    let early = deadline + keep - Duration::from_millis(1);
    assert_eq!(
        send_claim(&mut keys, early, claim(4, "a")).0,
        KeyVerdict::Unknown
    );
    let _ = keys.tick(deadline + keep);
    assert_eq!(keys.held(), 0);
    assert_eq!(
        send_claim(&mut keys, deadline + keep, claim(5, "a")).0,
        KeyVerdict::Granted
    );
}

#[test]
fn record_is_kept_without_a_response_over_the_limit() {
    for (size, most, kept) in [(50, 4_096, true), (5_000, 4_096, false), (50, 20, false)] {
        let mut keys = holder(|config| {
            config.max_answer = most;
            config.max_total = 8_192;
        });
        assert_eq!(
            send_claim(&mut keys, NOW, claim(1, "order")).0,
            KeyVerdict::Granted
        );
        send_end(&mut keys, end_message(1, KeyEnd::Done, Some(size)));
        let found = send_claim(&mut keys, NOW, claim(2, "order"));
        assert_eq!(found, (KeyVerdict::Done, kept), "{size} of {most}");
    }
}

/// Sends the holder one record per claim of the key, each from a different leaving member.
fn receive_records(keys: &mut Keys, claims: &[u64]) {
    for (&claim, from) in claims.iter().zip(2..) {
        let record = KeyRecord {
            key: "order".into(),
            digest: 1,
            claim,
            remaining_us: 1_000_000,
            keep_us: 300_000_000,
            ..KeyRecord::default()
        };
        let records = KeyRecords {
            parts: 1,
            records: vec![record],
            ..KeyRecords::default()
        };
        let _ = keys.received(NOW, from, RequestBody::KeyRecords(records));
    }
}

#[test]
fn withdrawal_of_one_of_two_pulled_claims_leaves_the_other() {
    use KeyEnd::{Done, NotRun, Unknown};
    // claims received, ends reported, verdict on a claim then and after the deadline
    type Row = (
        &'static [u64],
        &'static [(u64, KeyEnd)],
        KeyVerdict,
        KeyVerdict,
    );
    let table: [Row; 9] = [
        (&[1, 2], &[], KeyVerdict::Running, KeyVerdict::Unknown),
        (
            &[1, 2],
            &[(1, NotRun)],
            KeyVerdict::Running,
            KeyVerdict::Unknown,
        ),
        (
            &[1, 2],
            &[(2, NotRun)],
            KeyVerdict::Running,
            KeyVerdict::Unknown,
        ),
        (
            &[1, 2, 2],
            &[(2, NotRun), (1, NotRun)],
            KeyVerdict::Granted,
            KeyVerdict::Unknown,
        ),
        (
            &[1, 2, 3],
            &[(1, NotRun), (3, NotRun)],
            KeyVerdict::Running,
            KeyVerdict::Unknown,
        ),
        (
            &[1, 2],
            &[(2, Unknown), (1, NotRun)],
            KeyVerdict::Unknown,
            KeyVerdict::Unknown,
        ),
        (
            &[1, 2],
            &[(1, Unknown), (2, NotRun)],
            KeyVerdict::Unknown,
            KeyVerdict::Unknown,
        ),
        (
            &[1],
            &[(2, Unknown), (1, NotRun)],
            KeyVerdict::Unknown,
            KeyVerdict::Unknown,
        ),
        (
            &[1, 2],
            &[(2, Done), (1, NotRun)],
            KeyVerdict::Done,
            KeyVerdict::Done,
        ),
    ];
    for (claims, ends, soon, late) in table {
        let mut keys = holder(|_| {});
        receive_records(&mut keys, claims);
        for &(claim, end) in ends {
            send_end(&mut keys, end_message(claim, end, None));
        }
        let verdict = send_claim(&mut keys, NOW, claim(9, "order")).0;
        assert_eq!(verdict, soon, "{claims:?} {ends:?}");
        let later = NOW + Duration::from_secs(2);
        let verdict = send_claim(&mut keys, later, claim(10, "order")).0;
        assert_eq!(verdict, late, "{claims:?} {ends:?}, later");
    }
}

#[test]
fn claim_is_not_granted_if_the_holder_can_not_decide() {
    let other_holders = |claim: KeyClaim| KeyClaim {
        holders: vec![OWN, 2],
        ..claim
    };
    let not_a_holder = |claim: KeyClaim| KeyClaim {
        holders: vec![2],
        ..claim
    };
    let mut keys = holder(|_| {});
    for change in [other_holders, not_a_holder] {
        let verdict = send_claim(&mut keys, NOW, change(claim(1, "order"))).0;
        assert_eq!(verdict, KeyVerdict::NotReady);
    }
    let mut restarted = holder(|config| config.first_start = false);
    assert_eq!(
        send_claim(&mut restarted, NOW, claim(1, "order")).0,
        KeyVerdict::NotReady
    );
    let mut leaving = holder(|_| {});
    let _ = leaving.leave(NOW);
    assert_eq!(
        send_claim(&mut leaving, NOW, claim(1, "order")).0,
        KeyVerdict::NotReady
    );
    // An operator may found the service anew after all agents were lost.
    restarted.found_service(NOW);
    assert_eq!(
        send_claim(&mut restarted, NOW, claim(1, "order")).0,
        KeyVerdict::Granted
    );
}

#[test]
fn records_are_sent_only_to_settled_members() {
    let mut keys = holder(|_| {});
    assert_eq!(
        send_claim(&mut keys, NOW, claim(1, "order")).0,
        KeyVerdict::Granted
    );
    let sync = RequestBody::KeySync(KeySync { token: 5 });
    let actions = keys.received(NOW, CLAIMING_AGENT, sync);
    let [
        KeyAction::Send {
            body: RequestBody::KeyRecords(records),
            ..
        },
    ] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!((records.records.len(), records.settled.len()), (0, 1));
}

#[test]
fn end_of_a_refused_request_follows_its_not_run_flag() {
    let problem = ProblemKind::NoSlot;
    assert_eq!(
        KeyEnd::from_refusal(&Refusal::not_run(problem)),
        KeyEnd::NotRun
    );
    assert_eq!(
        KeyEnd::from_refusal(&Refusal::unknown(problem)),
        KeyEnd::Unknown
    );
}

#[test]
fn response_without_its_body_is_not_replayed() {
    let mut keys = holder(|_| {});
    assert_eq!(
        send_claim(&mut keys, NOW, claim(1, "order")).0,
        KeyVerdict::Granted
    );
    let mut message = end_message(1, KeyEnd::Done, Some(0));
    message
        .answer
        .as_mut()
        .expect("stored response")
        .body_dropped = true;
    send_end(&mut keys, message);
    assert_eq!(
        send_claim(&mut keys, NOW, claim(2, "order")),
        (KeyVerdict::Done, false)
    );
    let (_, actions) = keys.claim(NOW, b"order", 1, NOW + Duration::from_secs(1));
    let [KeyAction::Refuse { refusal, .. }] = &actions[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(refusal.problem, ProblemKind::AnswerNotKept);
}

#[test]
fn withdrawn_claim_is_removed_and_an_unreported_end_is_unknown() {
    // With two agents, the second must answer before the claim is granted.
    let mut config = KeysConfig {
        settle_delay: Duration::ZERO,
        ..KeysConfig::default()
    };
    config.first_start = true;
    let mut keys = Keys::new(Member::new(OWN, "a"), config, 7, Duration::ZERO);
    let actions_on_join = keys.set_members(Duration::from_millis(1), &[Member::new(2, "b")]);
    let [
        KeyAction::Send {
            to: 2,
            body: RequestBody::KeySync(sync),
        },
    ] = &actions_on_join[..]
    else {
        panic!("{actions_on_join:?}");
    };
    // The second agent knows no settled member either, so the two found the service.
    let unfounded = KeyRecords {
        token: sync.token,
        parts: 1,
        life: 5,
        ..KeyRecords::default()
    };
    let _ = keys.received(NOW, 2, RequestBody::KeyRecords(unfounded));
    let _ = keys.tick(NOW);
    let (first, actions) = keys.claim(NOW, b"order", 1, NOW + Duration::from_secs(1));
    let is_claimed = matches!(
        actions[..],
        [KeyAction::Send {
            to: 2,
            body: RequestBody::KeyClaim(_)
        }]
    );
    assert!(is_claimed, "{actions:?}");
    assert_eq!(keys.held(), 1);
    let _ = keys.finished(NOW, first, KeyEnd::NotRun, None);
    assert_eq!(keys.held(), 0);

    let mut keys = holder(|_| {});
    let deadline = NOW + Duration::from_secs(1);
    let (_, actions) = keys.claim(NOW, b"order", 1, deadline);
    assert!(matches!(actions[..], [KeyAction::Run { .. }]));
    let late = deadline + KeysConfig::default().record_ttl;
    let _ = keys.tick(late);
    let (verdict, _) = send_claim(&mut keys, late, claim(2, "order"));
    assert_eq!(verdict, KeyVerdict::Unknown);
}
