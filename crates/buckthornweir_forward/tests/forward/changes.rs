//! Differences between sets of agents for which recent changes account.

use buckthornweir_forward::changes::{Changes, Span, mark};

fn marks(nodes: std::ops::Range<u64>) -> Vec<u64> {
    nodes.map(|node| mark(node, 1)).collect()
}

fn combine(marks: impl IntoIterator<Item = u64>) -> u64 {
    marks.into_iter().fold(0, |all, mark| all ^ mark)
}

#[test]
fn span_contains_all_combinations_and_no_other_hash() {
    for count in [0, 1, 2, 8, 32] {
        let hashes = marks(0..count);
        let span = Span::of(hashes.iter().copied());
        for round in 0..1_000 {
            let choice = mark(round, 2);
            let chosen = (0..count).filter(|index| choice >> index & 1 == 1);
            let chosen = combine(chosen.map(|index| hashes[index as usize]));
            assert!(span.contains(chosen), "{count} hashes");
            let unknown = mark(1_000 + round, 1);
            assert!(!span.contains(chosen ^ unknown), "{count} hashes");
        }
    }
}

#[test]
fn only_the_latest_changes_account_for_differences() {
    let mut changes = Changes::default();
    changes.update(marks(0..200), []);
    let span = changes.update(marks(40..200), marks(0..40));
    let explained = marks(0..40).into_iter().filter(|mark| span.contains(*mark));
    assert_eq!(explained.count(), 32);
}

#[test]
fn agents_that_neither_are_live_nor_left_account_for_nothing() {
    // The live agents and the ones that left after agent 3 joined, and whether a process may still
    // know agent 3, or not know it yet.
    let cases = [
        ("joined", marks(0..4), vec![], true),
        ("left", marks(0..3), marks(3..4), true),
        ("dead", marks(0..3), vec![], false),
    ];
    for (name, live, left, expected) in cases {
        let mut changes = Changes::default();
        changes.update(marks(0..3), []);
        changes.update(marks(0..4), []);
        let span = changes.update(live, left);
        assert_eq!(span.contains(mark(3, 1)), expected, "{name}");
        assert!(!span.contains(mark(3, 2)), "{name}, started again");
        assert!(!span.contains(mark(9, 1)), "{name}, unknown");
    }
}
