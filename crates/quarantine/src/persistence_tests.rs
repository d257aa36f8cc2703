//! The row of the store that holds evidence and verdicts.

use std::sync::Arc;

use proptest::prelude::*;
use store::StoreVersion;

use crate::{
    Admission, Message, Persistence, PersistenceStep, PromptParts, Quarantine, Snapshot, Verdict,
    VerdictState, home_rank, homes,
};

const S_US: u64 = 1_000_000;

/// Largest value of a row.
const ROW_MAX_BYTES: usize = 65_536;

const DEADLY: u64 = 7;

const fn version(number: u64) -> StoreVersion {
    StoreVersion::new(0, number)
}

fn parts(own: u64) -> PromptParts {
    PromptParts::new([1, DEADLY, own])
}

/// Returns the daemon `entry-0` and three others, in the order of [`homes`].
fn daemons() -> Vec<Quarantine> {
    let names: Vec<Arc<str>> = (0..4)
        .map(|number| format!("entry-{number}").into())
        .collect();
    let ranked = homes(names.iter().map(AsRef::as_ref));
    let daemons = ranked.iter().map(|name| {
        let mut daemon = Quarantine::new(name);
        let others = names.iter().filter(|other| other.as_ref() != *name);
        daemon.set_live(others.cloned().collect());
        daemon
    });
    daemons.collect()
}

/// Loses requests with the deadly part at several crashes, a second apart, until `now_us`.
fn lose(daemon: &mut Quarantine, now_us: u64, crashes: u64) {
    for crash in 0..crashes {
        let at_us = now_us - crash * S_US;
        daemon.record_loss(at_us, 0, &format!("engine-{at_us}"), &parts(100 + crash));
    }
}

/// Guards against rows that are read by each daemon that starts, or written by several.
#[test]
fn homes_read_the_row_and_the_first_one_writes_it() {
    let mut daemons = daemons();
    for (rank, daemon) in daemons.iter_mut().enumerate() {
        assert_eq!(daemon.home_rank(), Some(rank));
        let mut persistence = Persistence::default();
        let mut step = |now_us, daemon: &Quarantine| persistence.next_step(now_us, 0, daemon);
        assert_eq!(step(S_US, daemon), PersistenceStep::Wait, "settles first");
        assert_eq!(step(2 * S_US, daemon), PersistenceStep::Read);
        persistence.handle_read(2 * S_US, 0, None, None, daemon);
        let idle = persistence.next_step(3 * S_US, 0, daemon);
        assert_eq!(idle, PersistenceStep::Wait, "nothing to save");
        lose(daemon, 3 * S_US, 1);
        let step = persistence.next_step(3 * S_US, 0, daemon);
        let is_write = matches!(step, PersistenceStep::Write { version: None, .. });
        assert_eq!(is_write, rank == 0, "{step:?}");
        if rank == 0 {
            persistence.handle_write(3 * S_US, version(5));
            lose(daemon, 3 * S_US + 1, 1);
            let step = persistence.next_step(3 * S_US + 1, 0, daemon);
            assert_eq!(step, PersistenceStep::Wait, "writes are a second apart");
            let step = persistence.next_step(4 * S_US, 0, daemon);
            let expected = Some(version(5));
            let is_write =
                matches!(step, PersistenceStep::Write { version, .. } if version == expected);
            assert!(is_write, "{step:?}");
        }
    }
    let names: Vec<String> = (0..9).map(|number| format!("entry-{number}")).collect();
    let live = || names.iter().map(String::as_str);
    for name in live() {
        let others = live().filter(|other| *other != name);
        let position = homes(live()).iter().position(|home| *home == name);
        assert_eq!(home_rank(name, others), position);
    }
}

/// Guards against evidence that is lost with a failed write, or replaced by that of another daemon.
#[test]
fn failed_writes_are_repeated_and_conflicts_merged() {
    let mut daemon = daemons().remove(0);
    let mut other = Quarantine::new("other");
    lose(&mut daemon, 10 * S_US, 1);
    lose(&mut other, 20 * S_US, 1);
    let mut persistence = Persistence::default();
    persistence.next_step(0, 0, &daemon);
    assert_eq!(
        persistence.next_step(S_US, 0, &daemon),
        PersistenceStep::Read
    );
    persistence.handle_failure(S_US);
    let step = persistence.next_step(S_US + 1, 0, &daemon);
    assert_eq!(
        step,
        PersistenceStep::Wait,
        "a store in trouble is not asked at once"
    );
    assert_eq!(
        persistence.next_step(2 * S_US, 0, &daemon),
        PersistenceStep::Read
    );
    persistence.handle_read(2 * S_US, 0, Some(version(3)), None, &mut daemon);
    let step = persistence.next_step(2 * S_US, 0, &daemon);
    let expected = Some(version(3));
    let is_write = matches!(step, PersistenceStep::Write { version, .. } if version == expected);
    assert!(is_write, "{step:?}");
    persistence.handle_failure(21 * S_US);
    assert_eq!(
        persistence.next_step(22 * S_US, 0, &daemon),
        PersistenceStep::Read
    );
    // The row that is found is that of another daemon.
    let snapshot = other.snapshot(22 * S_US, 0);
    persistence.handle_read(22 * S_US, 0, Some(version(9)), Some(&snapshot), &mut daemon);
    let step = persistence.next_step(22 * S_US, 0, &daemon);
    let PersistenceStep::Write {
        version: found,
        snapshot,
    } = step
    else {
        panic!("{step:?}");
    };
    assert_eq!((found, snapshot.losses.len()), (Some(version(9)), 2));
}

/// Guards against evidence that is taken for saved although the store has come back from a copy
/// without it, and against daemons that write a row without having anything to add.
#[test]
fn evidence_is_written_again_when_the_store_comes_back_from_a_copy() {
    // Whether the copy has the row; whether the daemon knows anything.
    let cases = [(true, true), (false, true), (true, false), (false, false)];
    for (has_row, has_evidence) in cases {
        let mut daemon = daemons().remove(0);
        let mut persistence = Persistence::default();
        persistence.next_step(0, 0, &daemon);
        persistence.see_era(1);
        persistence.next_step(S_US, 0, &daemon);
        let before = Some(StoreVersion::new(1, 8)).filter(|_| has_row);
        persistence.handle_read(S_US, 0, before, None, &mut daemon);
        if has_evidence {
            lose(&mut daemon, 2 * S_US, 1);
            persistence.next_step(2 * S_US, 0, &daemon);
            persistence.handle_write(2 * S_US, StoreVersion::new(1, 9));
        }
        let step = persistence.next_step(4 * S_US, 0, &daemon);
        assert_eq!(step, PersistenceStep::Wait);

        let name = format!("row {has_row}, evidence {has_evidence}");
        persistence.see_era(2);
        let step = persistence.next_step(5 * S_US, 0, &daemon);
        assert_eq!(step, PersistenceStep::Read, "{name}");
        let copied = before.map(|version| StoreVersion::new(2, version.number));
        let restored = Quarantine::new("other").snapshot(0, 0);
        let snapshot = copied.map(|_| &restored);
        persistence.handle_read(5 * S_US, 0, copied, snapshot, &mut daemon);
        let step = persistence.next_step(5 * S_US, 0, &daemon);
        let is_write = matches!(
            &step,
            PersistenceStep::Write { version, snapshot }
                if *version == copied && snapshot.losses.len() == 1
        );
        assert_eq!(is_write, has_evidence, "{name}: {step:?}");
        if !has_evidence {
            assert_eq!(step, PersistenceStep::Wait, "{name}");
            continue;
        }
        // The write took effect in an era that has passed.
        persistence.see_era(3);
        persistence.handle_write(6 * S_US, StoreVersion::new(2, 9));
        let step = persistence.next_step(8 * S_US, 0, &daemon);
        assert_eq!(step, PersistenceStep::Read, "{name}");
    }
}

/// Guards against a part that all daemons forget when they end, against one that is held back longer
/// than before because of that, and against evidence that never ages.
#[test]
fn daemon_that_starts_continues_where_the_others_ended() {
    let mut before = Quarantine::new("before");
    lose(&mut before, 100 * S_US, 3);
    before.tick(100 * S_US);
    before.tick(102 * S_US);
    assert!(before.quarantined_part(&parts(1)).is_some());
    let snapshot = before.snapshot(110 * S_US, 50_000);
    // The clock of the new daemon starts at 0, 20 s later.
    let mut after = Quarantine::new("after");
    after.restore(0, 70_000, &snapshot);
    let Admission::Refused {
        part,
        retry_after_ms,
    } = after.admit(0, &parts(1))
    else {
        panic!("admitted");
    };
    assert_eq!(
        (part, retry_after_ms),
        (DEADLY, 32_000),
        "28 of 60 s are over"
    );
    assert_eq!(after.parts(0)[0].age_ms, 28_000);

    let mut late = Quarantine::new("late");
    late.restore(0, 4_000_000, &snapshot);
    assert_eq!(late.admit(0, &parts(1)), Admission::Admitted);
    assert_eq!(late.snapshot(0, 0).losses, []);
}

/// Guards against evidence below the bound that starts anew with the daemons.
#[test]
fn evidence_adds_up_over_a_restart() {
    let mut before = Quarantine::new("before");
    lose(&mut before, 100 * S_US, 2);
    before.tick(100 * S_US);
    let snapshot = before.snapshot(100 * S_US, 0);
    let mut after = Quarantine::new("after");
    after.restore(0, 10_000, &snapshot);
    after.record_loss(S_US, 0, "engine", &parts(200));
    after.tick(S_US);
    after.tick(3 * S_US);
    assert_eq!(after.quarantined_part(&parts(1)), Some(DEADLY));
}

/// Guards against a clearance that is forgotten with the daemons, and against one that excuses
/// crashes after it.
#[test]
fn clearance_excuses_only_the_crashes_before_it() {
    // No other part can explain the crashes.
    let lose_alone = |daemon: &mut Quarantine, now_us: u64, crashes: u64| {
        for crash in 0..crashes {
            let at_us = now_us - crash * S_US;
            let parts = PromptParts::new([DEADLY, at_us]);
            daemon.record_loss(at_us, 0, &format!("engine-{at_us}"), &parts);
        }
    };
    for (crashes_after, is_suspected) in [(0, false), (3, true)] {
        let mut before = Quarantine::new("before");
        lose_alone(&mut before, 100 * S_US, 3);
        before.tick(100 * S_US);
        before.tick(102 * S_US);
        assert!(before.release(103 * S_US, DEADLY));
        lose_alone(&mut before, 110 * S_US, crashes_after);
        let snapshot = before.snapshot(110 * S_US, 0);
        let mut after = Quarantine::new("after");
        after.restore(0, 0, &snapshot);
        after.tick(S_US);
        let held = after.parts(S_US);
        assert_eq!(held.iter().any(|part| part.part == DEADLY), is_suspected);
    }
}

/// Guards against an innocent part that is held back after a restart because nobody remembers that
/// it was answered.
#[test]
fn answered_parts_are_remembered() {
    let mut before = Quarantine::new("before");
    before.record_answer(90 * S_US, &PromptParts::new([1, DEADLY, 50]));
    lose(&mut before, 100 * S_US, 2);
    let snapshot = before.snapshot(100 * S_US, 0);
    let mut after = Quarantine::new("after");
    after.restore(0, 0, &snapshot);
    lose(&mut after, 3 * S_US, 2);
    after.tick(3 * S_US);
    after.tick(5 * S_US);
    assert_eq!(after.quarantined_part(&parts(1)), None);
}

/// Guards against a snapshot that doesn't fit into a row, and against rows of other programs.
#[test]
fn snapshot_fits_into_a_row() {
    let mut daemon = Quarantine::new("entry");
    for crash in 0..400 {
        for loss in 0..16 {
            let ids = (0..20).map(|part| u64::MAX - crash * 1_000 - loss * 20 - part);
            let parts = PromptParts::new(ids);
            daemon.record_answer(crash, &parts);
            daemon.record_loss(crash * S_US, 0, &format!("engine-{crash}"), &parts);
        }
    }
    for part in 0..600 {
        let verdict = Verdict {
            part: u64::MAX - part,
            is_request: part % 2 == 0,
            epoch: u32::MAX,
            state: VerdictState::Quarantined,
            crashes: u32::MAX,
            failed_trials: u32::MAX,
            age_ms: 1,
        };
        daemon.receive(400 * S_US, &Message::Verdicts(vec![verdict]));
    }
    let snapshot = daemon.snapshot(400 * S_US, u64::MAX);
    assert!(snapshot.losses.len() > 50 && snapshot.verdicts.len() > 500);
    let text = snapshot.to_text().unwrap();
    assert!(text.len() <= ROW_MAX_BYTES, "{} bytes", text.len());
    assert_eq!(Snapshot::from_text(&text), Ok(snapshot));
    for text in ["", "?", "AAAA", &text[..text.len() / 2]] {
        assert!(Snapshot::from_text(text).is_err(), "{text:?}");
    }
}

/// What happens in one step of a run with two writers.
#[derive(Debug, Clone, Copy)]
enum Event {
    Loss,
    /// The call succeeds.
    Call,
    /// The call fails and does nothing.
    CallRefused,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The daemon is replaced by one that knows nothing.
    Restart,
    /// The store is copied.
    Copy,
    /// The store comes back from the last copy.
    Restore,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Loss),
        6 => Just(Event::Call),
        2 => Just(Event::CallRefused),
        2 => Just(Event::AnswerLost),
        1 => Just(Event::Restart),
        1 => Just(Event::Copy),
        1 => Just(Event::Restore),
    ]
}

proptest! {
    /// Guards against a saved loss that disappears from the row, whichever calls fail and although
    /// two daemons take themselves for the first home, and against one that isn't saved again after
    /// the store has come back from a copy.
    #[test]
    fn saved_losses_stay_in_the_row(events in prop::collection::vec((event(), 0..2_usize), 1..80)) {
        let start = || (Quarantine::new("entry"), Persistence::default());
        let mut writers = [start(), start()];
        let mut row: Option<(StoreVersion, Snapshot)> = None;
        let (mut copy, mut era) = (None, 0);
        let mut losses = 0;
        for (event, index) in events.into_iter().chain([(Event::Call, 0); 8]) {
            losses += 1;
            let now_us = losses * 2 * S_US;
            let (daemon, persistence) = &mut writers[index];
            persistence.see_era(era);
            let saved_before = row.as_ref().map_or(0, |(_, saved)| saved.losses.len());
            match event {
                Event::Loss => {
                    daemon.record_loss(now_us, 0, &format!("engine-{losses}"), &parts(losses));
                }
                Event::Restart => writers[index] = start(),
                Event::Copy => copy = row.clone(),
                Event::Restore => {
                    era += 1;
                    row = copy.clone().map(|(version, saved): (StoreVersion, Snapshot)| {
                        (StoreVersion::new(era, version.number), saved)
                    });
                    continue;
                }
                Event::Call | Event::CallRefused | Event::AnswerLost => {
                    let stored = row.as_ref().map(|(version, _)| *version);
                    match persistence.next_step(now_us, now_us / 1_000, daemon) {
                        PersistenceStep::Wait => {}
                        _ if matches!(event, Event::CallRefused) => {
                            persistence.handle_failure(now_us);
                        }
                        PersistenceStep::Write { version, snapshot } if version == stored => {
                            let number = version.unwrap_or_default().number + 1;
                            let version = StoreVersion::new(era, number);
                            row = Some((version, snapshot));
                            if matches!(event, Event::AnswerLost) {
                                persistence.handle_failure(now_us);
                            } else {
                                persistence.handle_write(now_us, version);
                            }
                        }
                        _ if matches!(event, Event::AnswerLost) => {
                            persistence.handle_failure(now_us);
                        }
                        PersistenceStep::Read | PersistenceStep::Write { .. } => {
                            let snapshot = row.as_ref().map(|(_, snapshot)| snapshot);
                            let unix_ms = now_us / 1_000;
                            persistence.handle_read(now_us, unix_ms, stored, snapshot, daemon);
                        }
                    }
                }
            }
            let saved = row.as_ref().map_or(0, |(_, saved)| saved.losses.len());
            prop_assert!(saved >= saved_before, "{saved} of {saved_before}");
        }
        // After calls without a fault, all that the first writer knows is saved.
        let (daemon, _) = &writers[0];
        let known = daemon.snapshot(losses * 2 * S_US, 0).losses.len();
        let saved = row.map_or(0, |(_, saved)| saved.losses.len());
        prop_assert!(saved >= known, "{saved} of {known}");
    }
}
