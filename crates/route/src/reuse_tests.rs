use super::*;

const SHARED_TOKENS: f64 = 13_000.0;

/// Name, candidate, other engines with the round trip to each, and the expected source.
type Case = (&'static str, Holding, Vec<(Source, f64)>, Option<usize>);

/// Returns an engine that keeps nothing, reads 50 tokens in a ms and fetches 625.
fn holding() -> Holding {
    Holding {
        shared_tokens: SHARED_TOKENS,
        kept_tokens: 0.0,
        kept_chance: 0.0,
        is_known: false,
        read_token_us: 20.0,
        fetch_token_us: 1.6,
    }
}

fn source(engine: usize) -> Source {
    Source {
        engine,
        tokens: SHARED_TOKENS,
        kept_chance: 0.9,
        busy_us: 0.0,
    }
}

/// Guards against a fetch that takes longer than reading, and against reading what is fetched
/// sooner.
#[test]
fn parts_come_the_fastest_way() {
    let cases: [Case; 9] = [
        ("nobody keeps them", holding(), vec![], None),
        ("kept elsewhere", holding(), vec![(source(1), 0.0)], Some(1)),
        (
            "slow link",
            Holding {
                fetch_token_us: 40.0,
                ..holding()
            },
            vec![(source(1), 0.0)],
            None,
        ),
        (
            "known to be kept here",
            Holding {
                kept_tokens: SHARED_TOKENS,
                ..holding()
            },
            vec![(source(1), 0.0)],
            None,
        ),
        (
            "busy source",
            holding(),
            vec![
                (
                    Source {
                        busy_us: 50_000.0,
                        ..source(1)
                    },
                    0.0,
                ),
                (source(2), 3_000.0),
            ],
            Some(2),
        ),
        (
            "all sources are busy for longer than it takes to read",
            holding(),
            vec![(
                Source {
                    busy_us: 400_000.0,
                    ..source(1)
                },
                0.0,
            )],
            None,
        ),
        (
            "far source",
            holding(),
            vec![(source(1), 60_000.0), (source(2), 0.0)],
            Some(2),
        ),
        (
            "doubtful source",
            holding(),
            vec![
                (
                    Source {
                        kept_chance: 0.3,
                        ..source(1)
                    },
                    0.0,
                ),
                (source(2), 0.0),
            ],
            Some(2),
        ),
        (
            "source that keeps only what is kept here",
            Holding {
                kept_tokens: 5_000.0,
                ..holding()
            },
            vec![(
                Source {
                    tokens: 5_000.0,
                    ..source(1)
                },
                0.0,
            )],
            None,
        ),
    ];
    for (name, holding, sources, expected) in cases {
        assert_eq!(holding.supply(sources).source, expected, "{name}");
    }
}

/// Guards against a short part that is fetched although reading it takes less than asking for it.
#[test]
fn short_part_is_read() {
    let holding = Holding {
        shared_tokens: 350.0,
        ..holding()
    };
    let source = Source {
        tokens: 350.0,
        ..source(1)
    };
    assert_eq!(holding.supply([(source, 0.0)]).source, None);
}

/// Guards against a source that has lost the parts: what the fetch is expected to bring follows its
/// chance, and the rest counts as read.
#[test]
fn lost_parts_count_as_read() {
    let lost = Source {
        kept_chance: 0.0,
        ..source(1)
    };
    assert_eq!(holding().supply([(lost, 0.0)]), holding().read());
    let doubtful = Source {
        kept_chance: 0.5,
        ..source(1)
    };
    let supply = holding().supply([(doubtful, 0.0)]);
    assert!((supply.read_tokens - SHARED_TOKENS / 2.0).abs() < 1.0);
    assert!((supply.read_tokens + supply.fetched_tokens - SHARED_TOKENS).abs() < 1.0);
}
