use crate::{Batch, Event, Profile, Sequence};

fn run(batch: &mut Batch) -> (u64, Vec<Event>) {
    let mut events = Vec::new();
    let mut total_us = 0;
    while !batch.is_idle() {
        total_us += batch.step(&mut events);
    }
    (total_us, events)
}

/// Guards against a batch that loses or repeats tokens.
#[test]
fn every_sequence_gets_all_its_tokens() {
    let mut batch = Batch::new(Profile::default().with_slots(2));
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
            .filter_map(|&Event::Token { id: of, index, .. }| (of == id).then_some(index))
            .collect();
        assert_eq!(indexes, [0, 1, 2, 3]);
    }
}

/// Guards against a cache that does not shorten the prefill of a repeated prefix.
#[test]
fn cached_prefix_shortens_prefill() {
    let mut batch = Batch::new(Profile::default());
    let sequence = |id| {
        Sequence::new(id)
            .with_prompt_tokens(2_000)
            .with_prefix(7, 1_900)
    };
    batch.add(sequence(1));
    let (cold_us, _) = run(&mut batch);
    batch.add(sequence(2));
    let (warm_us, _) = run(&mut batch);
    assert!(warm_us * 5 < cold_us, "{warm_us} {cold_us}");
}

/// Guards against priority order on engines that do not honour it, and its lack on those that do.
#[test]
fn priority_orders_waiting_sequences() {
    for (honours, first) in [(true, 2), (false, 1)] {
        let mut batch = Batch::new(Profile::default().with_slots(1).with_priority(honours));
        batch.add(Sequence::new(1).with_priority(5));
        batch.add(Sequence::new(2).with_priority(0));
        let (_, events) = run(&mut batch);
        let Event::Token { id, .. } = events[0];
        assert_eq!(id, first);
    }
}
