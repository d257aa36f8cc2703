//! Tests of the modelled work and cache of an engine.

use crate::{EngineLoad, PromptPart, engine_state::EngineState, prefix_cache::PrefixCache};

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

/// Guards against counting a part as cached when a part before it is missing, and against a cache
/// that grows without bound.
#[test]
fn cache_keeps_the_newest_parts() {
    let mut cache = PrefixCache::default();
    cache.insert(1, 1, &[part(1, 300), part(2, 200)], 1_000);
    assert_eq!(cache.unread_tokens(&[part(1, 300), part(3, 50)]), 50);
    assert_eq!(cache.unread_tokens(&[part(3, 50), part(1, 300)]), 350);
    cache.insert(2, 2, &[part(4, 400)], 1_000);
    assert_eq!(
        cache.unread_tokens(&[part(1, 300)]),
        300,
        "the oldest is evicted"
    );
    assert_eq!(cache.unread_tokens(&[part(4, 400)]), 0);
    cache.clear();
    assert_eq!(cache.unread_tokens(&[part(4, 400)]), 400);
}

/// Guards against estimated work that never shrinks, or that drops to zero before the engine has
/// sent a first token.
#[test]
fn work_is_read_in_order_of_tiers() {
    let mut engine = EngineState::default();
    engine.start(0, 1, 0, 1_000, 100_000);
    engine.start(0, 2, 2, 4_000, 400_000);
    let work = engine.work(0, 20.0);
    assert!((work.ahead_tokens(0) - 1_000.0).abs() < 1.0);
    assert!((work.ahead_tokens(2) - 5_000.0).abs() < 1.0);
    // After 40 ms, 2,000 tokens are processed: the tier 0 prompt and a quarter of the other.
    let work = engine.work(40_000, 20.0);
    assert!((work.ahead_tokens(2) - 3_100.0).abs() < 1.0, "{work:?}");
    engine.record_first_token(40_000, 1);
    let work = engine.work(40_000, 20.0);
    assert!((work.all_running() - 1.0).abs() < 0.1 && (work.running[0] - 1.0).abs() < 0.1);
    let late = engine.work(10_000_000, 20.0);
    assert!(
        late.all_tokens() >= 400.0,
        "no first token yet, so not done: {late:?}"
    );
    engine.end(1);
    engine.end(2);
    let load = engine.own_load(10_000_000);
    assert!(load.running() == 0 && load.unread_tokens == [0; 3]);
    assert_eq!(
        engine.own_load(60_000_000),
        EngineLoad::default(),
        "forgotten"
    );
}
