//! Tests of the engine model.

use crate::{BatchEngine, Event, Profile, Sequence};

/// Runs steps until the engine is idle; returns the total duration and all events.
fn run(batch: &mut BatchEngine) -> (u64, Vec<Event>) {
    let mut events = Vec::new();
    let mut total_us = 0;
    while !batch.is_idle() {
        total_us += batch.step(&mut events);
    }
    (total_us, events)
}

/// Guards against an engine that loses or repeats tokens.
#[test]
fn every_sequence_gets_all_its_tokens() {
    let mut batch = BatchEngine::new(Profile::default().with_slots(2));
    for id in 0..5 {
        batch.add(
            Sequence::new(id)
                .with_prompt_tokens(300)
                .with_output_tokens(4),
        );
    }
    let (_, events) = run(&mut batch);
    for id in 0..5 {
        let indexes: Vec<u32> = events
            .iter()
            .filter_map(
                |&Event::Token {
                     id: other, index, ..
                 }| (other == id).then_some(index),
            )
            .collect();
        assert_eq!(indexes, [0, 1, 2, 3]);
    }
}

/// Guards against a cache that does not shorten the prefill of a repeated prefix.
#[test]
fn cached_prefix_shortens_prefill() {
    let mut batch = BatchEngine::new(Profile::default());
    let sequence = |id| {
        Sequence::new(id)
            .with_prompt_tokens(2_000)
            .with_parts(&[(7, 1_900)])
    };
    batch.add(sequence(1));
    let (cold_us, _) = run(&mut batch);
    batch.add(sequence(2));
    let (warm_us, _) = run(&mut batch);
    assert!(warm_us * 5 < cold_us, "{warm_us} {cold_us}");
}

/// Guards against an engine that honours priorities although it shouldn't, or the reverse.
#[test]
fn priority_orders_waiting_sequences() {
    for (honours, first) in [(true, 2), (false, 1)] {
        let mut batch = BatchEngine::new(Profile::default().with_slots(1).with_priority(honours));
        batch.add(Sequence::new(1).with_priority(5));
        batch.add(Sequence::new(2).with_priority(0));
        let (_, events) = run(&mut batch);
        let Event::Token { id, .. } = events[0];
        assert_eq!(id, first);
    }
}

/// Guards against a part that counts as cached although one before it has to be prefilled again.
#[test]
fn part_counts_only_behind_cached_ones() {
    let mut batch = BatchEngine::new(Profile::default());
    batch.add(
        Sequence::new(1)
            .with_prompt_tokens(3_000)
            .with_parts(&[(1, 1_000), (2, 2_000)]),
    );
    run(&mut batch);
    for (parts, prefilled_tokens) in [
        ([(1, 1_000), (2, 2_000)], 1),
        ([(1, 1_000), (3, 2_000)], 2_000),
        ([(4, 1_000), (2, 2_000)], 3_000),
    ] {
        let before = batch.prefilled_tokens();
        batch.add(
            Sequence::new(2)
                .with_prompt_tokens(3_000)
                .with_parts(&parts),
        );
        run(&mut batch);
        assert_eq!(batch.prefilled_tokens() - before, prefilled_tokens);
    }
}

/// Guards against running sequences and cached parts that together exceed the memory, and against
/// tokens that a preempted sequence loses or repeats.
#[test]
fn preempts_newest_of_least_urgent_when_memory_is_full() {
    let profile = Profile {
        kv_capacity_tokens: Some(1_000),
        preempts: true,
        ..Profile::default()
    };
    let mut batch = BatchEngine::new(profile);
    for (id, priority) in [(1, 0), (2, 5), (3, 5)] {
        batch.add(
            Sequence::new(id)
                .with_priority(priority)
                .with_prompt_tokens(300)
                .with_parts(&[(id, 300)])
                .with_output_tokens(200),
        );
    }
    let mut events = Vec::new();
    while !batch.is_idle() {
        batch.step(&mut events);
        assert!(batch.pinned_tokens() <= 1_000, "{}", batch.pinned_tokens());
    }
    assert!(batch.preemptions() > 0);
    let indexes = |sequence| {
        let events = events.iter();
        let events = events
            .filter_map(move |&Event::Token { id, index, .. }| (id == sequence).then_some(index));
        events.collect::<Vec<u32>>()
    };
    for id in 1..=3 {
        assert_eq!(indexes(id), (0..200).collect::<Vec<u32>>(), "sequence {id}");
    }
    let last_of = |sequence| {
        let mut events = events.iter();
        events.rposition(|&Event::Token { id, .. }| id == sequence)
    };
    assert!(last_of(1) < last_of(2) && last_of(2) < last_of(3));
}

/// Guards against an urgent sequence that waits although a less urgent one holds a slot.
#[test]
fn urgent_sequence_takes_the_slot_of_a_less_urgent_one() {
    let profile = Profile {
        slots: 1,
        preempts: true,
        ..Profile::default()
    };
    let mut batch = BatchEngine::new(profile);
    batch.add(Sequence::new(1).with_priority(5).with_output_tokens(10));
    let mut events = Vec::new();
    batch.step(&mut events);
    batch.add(Sequence::new(2).with_priority(0));
    while !batch.is_idle() {
        batch.step(&mut events);
    }
    let ids: Vec<u64> = events.iter().map(|&Event::Token { id, .. }| id).collect();
    assert_eq!(ids[..3], [1, 2, 1]);
    assert_eq!(ids.len(), 11);
}
