//! Tests of the output of a run.

use gumdrop::Options as _;

use crate::{options::Options, scenario::Scenario, setup::Setup, simulation::Simulation};

fn json(arguments: &[&str]) -> String {
    let options = Options::parse_args_default(arguments).unwrap();
    let scenario: Scenario = options.scenario.parse().unwrap();
    let outcome = Simulation::new(Setup::new(scenario, &options)).run();
    serde_json::to_string(&outcome.report).unwrap()
}

/// Guards against output that depends on more than the seed.
#[test]
fn same_seed_gives_the_same_bytes() {
    for scenario in ["host-churn", "region-cut", "stragglers"] {
        for policy in ["fifo", "home", "grant"] {
            let run = |seed| {
                let arguments = [
                    scenario,
                    "--seconds",
                    "12",
                    "--policy",
                    policy,
                    "--seed",
                    seed,
                ];
                json(&arguments)
            };
            assert_eq!(run("1"), run("1"), "{scenario} {policy}");
            assert_ne!(run("1"), run("2"), "{scenario} {policy}");
        }
    }
}

/// Guards against JSON output that lacks a documented field or has an undocumented one.
#[test]
fn json_has_the_documented_fields() {
    let text = json(&["steady", "--seconds", "7"]);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    let mut fields: Vec<&String> = value.as_object().unwrap().keys().collect();
    fields.sort();
    let expected = [
        "classes",
        "control_bytes_per_s_per_daemon",
        "goodput_tokens_per_s",
        "policy",
        "scenario",
        "seed",
        "shed",
        "short_behind_long_p99_ms",
        "starved",
        "tier_inversions",
        "wasted_tokens_ratio",
    ];
    assert_eq!(fields, expected);
    let class = value["classes"][0].as_object().unwrap();
    let mut fields: Vec<&String> = class.keys().collect();
    fields.sort();
    assert_eq!(fields, ["attainment", "class", "tier", "ttft_p95_ms"]);
}
