//! Which absent agents are awaited, and for how long.

use buckthornweir_forward::absences::{Absence, Absences};

use crate::common::ms;

const STOPPED: Absence = Absence::Stopped;
const DEAD: Absence = Absence::Dead;

#[test]
fn absent_agents_are_awaited_until_their_timeout() {
    for (absence, timeout) in [(STOPPED, 8_000), (DEAD, 1_000)] {
        let mut absences = Absences::default();
        assert_eq!(absences.update(ms(100), [(1, absence)]), [(1, absence)]);
        // The set of absent agents is recomputed repeatedly during an absence.
        assert!(absences.update(ms(500), [(1, absence)]).is_empty());
        assert_eq!(absences.awaited(ms(99 + timeout)).collect::<Vec<_>>(), [1]);
        assert!(absences.none_awaited(ms(100 + timeout)));
    }
}

#[test]
fn returned_agents_are_not_awaited_and_may_be_absent_again() {
    let mut absences = Absences::default();
    absences.update(ms(0), [(1, DEAD), (2, STOPPED)]);
    absences.update(ms(300), [(2, STOPPED)]);
    assert_eq!(absences.awaited(ms(300)).collect::<Vec<_>>(), [2]);
    let changed = absences.update(ms(900), [(1, DEAD), (2, STOPPED)]);
    assert_eq!(changed, [(1, DEAD)]);
    assert_eq!(absences.awaited(ms(1_800)).collect::<Vec<_>>(), [1, 2]);
    // An agent considered dead announces that it stopped.
    assert_eq!(absences.update(ms(1_850), [(1, STOPPED)]), [(1, STOPPED)]);
    assert_eq!(absences.awaited(ms(9_000)).collect::<Vec<_>>(), [1]);
}
