//! Members find each other.

use std::time::Duration;

use buckthornweir_members::{Action, Config, Members, Message};

use crate::queue::{Queue, record, seconds};

#[test]
fn members_find_each_other_through_seeds() {
    for (count, limit) in [(2, 3.0), (10, 5.0), (50, 20.0), (100, 30.0), (500, 30.0)] {
        let mut queue = Queue::new(Config::default(), count);
        for index in 1..=count {
            queue.start(record(index, 3));
        }
        let took = queue.run_until(seconds(limit), Queue::is_complete);
        assert!(took.is_some(), "{count} members did not join");
    }
}

#[test]
fn quiet_members_exchange_no_digests_and_suspect_nobody() {
    let mut queue = Queue::joined(20, 5);
    let before = queue.total(|counters| counters.digests);
    queue.run(seconds(60.0));
    assert!(queue.is_complete());
    assert_eq!(queue.total(|counters| counters.digests), before);
    assert_eq!(queue.total(|counters| counters.suspicions), 0);
}

/// After a loss of power processes start in any order: a seed that starts late is found soon.
#[test]
fn a_lone_process_greets_its_seeds_again_after_the_interval() {
    let config = Config::default().with_lone_interval(Duration::from_millis(100));
    let seed = "192.0.2.9:7000".parse().unwrap();
    let mut members = Members::new(config, record(1, 3), vec![seed], 7);
    let greetings = (0..1_000)
        .step_by(20)
        .flat_map(|at| members.tick(Duration::from_millis(at)))
        .filter(|action| matches!(action, Action::Send { to, .. } if *to == seed));
    assert!((10..=15).contains(&greetings.count()));
}

/// A process that starts learns all others at once from one that knows them.
#[test]
fn a_roster_names_all_live_members() {
    for count in [1, 2, 30, 300] {
        let queue = Queue::filled(count, 4);
        let giver = queue.members(1);
        let mut joining = Members::new(Config::default(), record(9_999, 3), Vec::new(), 7);
        let from = giver.own().gossip;
        for message in giver.roster(&joining.digests()) {
            let bytes = message.encode();
            assert!(bytes.len() <= 1_200, "{} bytes", bytes.len());
            let message = Message::decode(&bytes).unwrap();
            joining.handle(Duration::from_millis(50), from, message);
        }
        assert_eq!(joining.iter().count() as u64, count + 1);
        // What it knows by now is not sent again; its own record is unknown to the giver.
        let again: usize = giver
            .roster(&joining.digests())
            .iter()
            .map(|message| message.encode().len())
            .sum();
        assert!(again <= 1_200, "{again} bytes of {count} members");
    }
}
