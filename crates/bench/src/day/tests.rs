use gumdrop::Options as _;

use super::{Day, DaySetup, Report, Trouble};
use crate::options::Options;

fn play(scenario: &str, policy: &str, seed: u64, extra: &[&str]) -> Report {
    let seed = seed.to_string();
    let mut arguments = vec![
        scenario,
        "--policy",
        policy,
        "--seed",
        &seed,
        "--seconds",
        "30",
        "--arrival",
        "skewed",
    ];
    arguments.extend_from_slice(extra);
    let options = Options::parse_args_default(&arguments).unwrap();
    let trouble = Trouble::by_name(&options.scenario).unwrap();
    Day::new(DaySetup::new(trouble, &options)).run()
}

const SHEETS: [&[&str]; 2] = [
    &["--deployment", "grifo-comun"],
    &["--deployment", "fliperama"],
];

/// Guards against a simulated day that depends on more than its seed.
#[test]
fn same_seed_gives_the_same_day() {
    let run = |seed| play("day-crash", "default", seed, &[]).to_string();
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

/// Pattern: few subjects share most of long prompts, on a calm day. Guards against a shared part
/// that is read on one engine after the other; the baseline knows no parts.
#[test]
fn shared_parts_are_read_by_few_engines() {
    for sheet in SHEETS {
        for seed in 1..=3 {
            let ours = play("day", "default", seed, sheet);
            let baseline = play("day", "least", seed, sheet);
            // What is read beyond the least, against the same of the baseline.
            let beyond = |report: &Report| report.read_tokens - report.least_tokens;
            let (ours, baseline) = (beyond(&ours), beyond(&baseline));
            assert!(ours * 5 < baseline, "{sheet:?} {seed}: {ours} {baseline}");
        }
    }
}

/// Pattern: demand triples for a third of the day. Guards against a crest at which any kind of
/// request is served on time less often than by the least loaded engine.
#[test]
fn crest_serves_every_kind_as_well_as_the_baseline() {
    for sheet in SHEETS {
        for seed in 1..=3 {
            let ours = play("day-crest", "default", seed, sheet);
            let baseline = play("day-crest", "least", seed, sheet);
            for (ours, baseline) in ours.lines.iter().zip(&baseline.lines) {
                let (own, other) = (ours.on_time_share(), baseline.on_time_share());
                assert!(own >= other, "{} {seed}: {own} {other}", ours.name);
            }
        }
    }
}

/// Pattern: a quarter of the engines crash at once and return empty. Guards against requests that end
/// with their engine although others could go on with them.
#[test]
fn crash_of_engines_costs_no_request() {
    for sheet in SHEETS {
        for seed in 1..=3 {
            let report = play("day-crash", "default", seed, sheet);
            for line in &report.lines {
                assert_eq!(line.served, line.owed, "{} {seed}", line.name);
            }
        }
    }
}
