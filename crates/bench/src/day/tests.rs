//! Tests of the `day` scenarios against the baseline.

use gumdrop::Options as _;

use super::{DayScenario, DaySetup, DaySimulation, Report};
use crate::options::Options;

fn run_day(scenario: &str, policy: &str, seed: u64, extra: &[&str]) -> Report {
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
    let scenario = DayScenario::by_name(&options.scenario).unwrap();
    DaySimulation::new(DaySetup::new(scenario, &options)).run()
}

const DEPLOYMENTS: [&[&str]; 2] = [
    &["--deployment", "grifo-comun"],
    &["--deployment", "fliperama"],
];

/// Guards against results that depend on more than the seed.
#[test]
fn same_seed_gives_the_same_day() {
    let run = |seed| run_day("day-crash", "default", seed, &[]).to_string();
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

/// Long prompts mostly consist of a few shared parts, without faults. Guards against shared parts
/// that many engines process instead of reading them from a cache; the baseline ignores parts.
#[test]
fn shared_parts_are_read_by_few_engines() {
    for deployment in DEPLOYMENTS {
        for seed in 1..=3 {
            let ours = run_day("day", "default", seed, deployment);
            let baseline = run_day("day", "least", seed, deployment);
            // Prompt tokens in excess of the minimum, compared with the baseline.
            let excess = |report: &Report| report.read_tokens - report.min_read_tokens;
            let (ours, baseline) = (excess(&ours), excess(&baseline));
            assert!(
                ours * 5 < baseline,
                "{deployment:?} {seed}: {ours} {baseline}"
            );
        }
    }
}

/// Demand triples for a third of the run. Guards against any kind of request being served on time
/// less often than with the least-loaded baseline.
#[test]
fn crest_serves_every_kind_as_well_as_the_baseline() {
    for deployment in DEPLOYMENTS {
        for seed in 1..=3 {
            let ours = run_day("day-crest", "default", seed, deployment);
            let baseline = run_day("day-crest", "least", seed, deployment);
            for (ours, baseline) in ours.lines.iter().zip(&baseline.lines) {
                let (our_share, baseline_share) = (ours.on_time_share(), baseline.on_time_share());
                assert!(
                    our_share >= baseline_share,
                    "{} {seed}: {our_share} {baseline_share}",
                    ours.name
                );
            }
        }
    }
}

/// A quarter of the engines crash at once and restart empty. Guards against requests that fail with
/// their engine although other engines could resume them.
#[test]
fn crash_of_engines_costs_no_request() {
    for deployment in DEPLOYMENTS {
        for seed in 1..=3 {
            let report = run_day("day-crash", "default", seed, deployment);
            for line in &report.lines {
                assert_eq!(line.served, line.arrived, "{} {seed}", line.name);
            }
        }
    }
}
