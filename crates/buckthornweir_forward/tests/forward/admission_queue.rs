//! The queue of SYNs that wait for a slot.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::admission_queue::{
    AdmissionQueue, Demand, Pushed, WaitingSyn, first_sent,
};
use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::tag::Tag;

use crate::common::{BALANCER, ms, syn, with_hops};

const NOW: Duration = Duration::from_secs(10);

fn waiting(segment: Segment, priority: u8, objective: u64) -> WaitingSyn {
    let demand = Demand {
        priority,
        sent: first_sent(NOW, &segment),
        objective: Some(ms(objective)),
        service: Some(ms(50)),
        hedged: false,
    };
    WaitingSyn::new(NOW, BALANCER, &segment, &[], demand)
}

/// Queues a SYN of one of many callers.
fn push(queue: &mut AdmissionQueue, caller: u8, priority: u8, objective: u64) -> Pushed {
    let port = u16::from(caller) * 100 + queue.len() as u16;
    let source = SocketAddrV4::new(Ipv4Addr::new(100, 64, 1, caller), port);
    let segment = syn(port, 0);
    queue.push(waiting(Segment { source, ..segment }, priority, objective))
}

/// Guards against starting SYNs in order of arrival although a later one is more urgent.
#[test]
fn syns_start_by_priority_and_then_by_deadline() {
    let mut queue = AdmissionQueue::default();
    for (priority, objective) in [(2, 300), (1, 800), (1, 400), (1, 801)] {
        push(&mut queue, 1, priority, objective);
    }
    let order = std::iter::from_fn(|| queue.pop(NOW, 0.0));
    let order: Vec<_> = order.map(|syn| syn.demand.objective).collect();
    assert_eq!(order, [400, 800, 801, 300].map(|end| Some(ms(end))));
}

/// Guards against a queue that grows without bound or that one caller fills, and against one that
/// keeps out SYNs of higher priority.
#[test]
fn the_queue_and_the_places_of_a_caller_are_bounded() {
    let mut queue = AdmissionQueue::default();
    let mut count = |caller, times| {
        let queued = |_: &u64| matches!(push(&mut queue, caller, 2, 300), Pushed::Queued);
        (0..times).filter(queued).count()
    };
    assert_eq!(count(1, 10), 4);
    assert_eq!((2..12).map(|caller| count(caller, 4)).sum::<usize>(), 40);
    assert_eq!(count(1, 20), 9, "13 of 53");
    assert_eq!(
        (20..40).map(|caller| count(caller, 4)).sum::<usize>(),
        64 - 53
    );
    assert_eq!(queue.len(), 64);
    let Pushed::Replaced(replaced) = push(&mut queue, 100, 1, 300) else {
        panic!("a higher priority takes a place");
    };
    assert_eq!((replaced.demand.priority, queue.len()), (2, 64));
}

/// Guards against starving lower priorities, and against giving them more than their share while
/// higher ones wait.
#[test]
fn lower_priorities_get_the_reserved_share_of_the_started_flows() {
    for (share, starts) in [(0.1, 200), (0.25, 200), (0.5, 100)] {
        let mut queue = AdmissionQueue::default();
        let mut low = 0;
        for start in 0..starts {
            push(&mut queue, start, 1, 800);
            push(&mut queue, start, 2, 800);
            low += usize::from(queue.pop(NOW, share).unwrap().demand.priority == 2);
        }
        assert_eq!(low, (f64::from(starts) * share) as usize, "share {share}");
    }
}

/// Guards against starting a flow that misses its objective, whose caller has given up, or whose
/// caller has sent a copy of the SYN to another agent.
#[test]
fn a_syn_waits_until_its_objective_its_callers_timeout_and_the_next_copy() {
    let latest = |segment, objective| waiting(segment, 1, objective).latest_start() - NOW;
    assert_eq!(latest(syn(1, 0), 180), ms(130));
    assert_eq!(latest(syn(1, 1), 300), ms(50), "sent 200 ms ago");
    assert_eq!(latest(syn(1, 0), 5_000), ms(150), "the next copy at 200 ms");
    assert_eq!(latest(syn(1, 1), 5_000), ms(350), "the next copy at 600 ms");
    assert_eq!(latest(syn(1, 2), 5_000), ms(650), "sent 600 ms ago");
    let passed_on = latest(with_hops(syn(1, 2), 1), 5_000);
    assert!(
        passed_on <= ms(850),
        "it may be older than its number tells"
    );
    let passed_on = Tag::default().aged(ms(80)).passed_on();
    let passed_on = Segment {
        tag: passed_on.word(),
        ..syn(1, 0)
    };
    assert_eq!(
        latest(passed_on, 5_000),
        ms(40),
        "it waited before and took a hop"
    );
}

/// Guards against resets of flows of which another copy may have reached another backend server.
#[test]
fn a_syn_is_complete_only_with_each_copy_that_its_caller_has_sent() {
    let mut queue = AdmissionQueue::default();
    queue.push(waiting(syn(1, 0), 1, 250));
    let is_complete = |queue: &AdmissionQueue, after| {
        let mut syns = queue.iter();
        syns.any(|syn| syn.has_all_copies(NOW + ms(after)))
    };
    // A reset takes up to 20 ms to arrive.
    assert!(is_complete(&queue, 179) && !is_complete(&queue, 180));
    assert!(
        queue.take_overdue(NOW + ms(210)).is_empty(),
        "it may still come"
    );
    assert!(queue.note_copy(NOW + ms(211), &syn(1, 1)));
    assert!(is_complete(&queue, 579) && !is_complete(&queue, 580));
    assert_eq!(queue.take_overdue(NOW + ms(212)).len(), 1);
    assert!(!waiting(syn(1, 1), 1, 800).has_all_copies(NOW));
    let mut hedged = waiting(syn(1, 0), 1, 800);
    hedged.demand.hedged = true;
    assert!(hedged.has_all_copies(NOW + ms(59)) && !hedged.has_all_copies(NOW + ms(60)));
}
