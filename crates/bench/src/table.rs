//! Table of all targets with their results.

use std::{fmt::Write as _, sync::mpsc, thread};

use crate::{
    arrival::Arrival,
    check::{Bound, Check, Runs, checks},
    measure::RunResult,
    number::rounded,
    options::Options,
    policy::Policy,
    scenario::Scenario,
    setup::Setup,
    simulation::Simulation,
};

/// Number of seeds for each scenario.
const SEEDS: u64 = 5;

/// Runs every scenario with seeds 1 to 5 and returns the table of targets.
pub(crate) fn targets_table() -> String {
    let mut table = String::from(
        "| scenario | baseline | policy | target | measured, seeds 1 to 5 | |\n\
         |---|---|---|---|---|---|\n",
    );
    let mut done: Vec<(Scenario, Vec<Runs>)> = Vec::new();
    for check in checks() {
        if !done.iter().any(|(scenario, _)| *scenario == check.scenario) {
            done.push((check.scenario, runs_of(check.scenario)));
        }
        if let Some((_, runs)) = done
            .iter()
            .find(|(scenario, _)| *scenario == check.scenario)
        {
            add_row(&mut table, &check, runs);
        }
    }
    table
}

fn add_row(table: &mut String, check: &Check, runs: &[Runs]) {
    let values: Vec<f64> = runs
        .iter()
        .map(|runs| rounded((check.value)(runs)))
        .collect();
    let met: Option<bool> = values
        .iter()
        .map(|&value| check.bound.is_met(value))
        .try_fold(true, |all, met| Some(all && met?));
    let verdict = match (check.bound, met) {
        (Bound::Reported, _) | (_, None) => "reported",
        (_, Some(true)) => "met",
        (_, Some(false)) => "missed",
    };
    let values: Vec<String> = values.iter().map(ToString::to_string).collect();
    let _ = writeln!(
        table,
        "| {} | {} | {} | {} | {} | {verdict} |",
        check.scenario.name(),
        check.baseline,
        Policy::DEFAULT.name(),
        check.target,
        values.join(", "),
    );
}

/// Runs one scenario with every seed, each on its own thread.
fn runs_of(scenario: Scenario) -> Vec<Runs> {
    let (sender, receiver) = mpsc::channel();
    thread::scope(|scope| {
        for seed in 1..=SEEDS {
            let sender = sender.clone();
            scope.spawn(move || {
                // The receiver lives as long as the scope.
                let _ = sender.send(Box::new((seed, runs(scenario, seed))));
            });
        }
    });
    drop(sender);
    let mut all: Vec<Box<(u64, Runs)>> = receiver.into_iter().collect();
    all.sort_by_key(|run| run.0);
    all.into_iter().map(|run| run.1).collect()
}

fn runs(scenario: Scenario, seed: u64) -> Runs {
    let goodput = |policy| {
        let outcome = run(Scenario::Steady, seed, policy, false);
        outcome.report.goodput_tokens_per_s
    };
    Runs {
        default_policy: run(scenario, seed, Policy::DEFAULT, false),
        no_faults: run(scenario, seed, Policy::DEFAULT, true),
        fifo: run(scenario, seed, Policy::Fifo, false),
        steady_goodput: goodput(Policy::Fifo).max(goodput(Policy::Least)),
    }
}

fn run(scenario: Scenario, seed: u64, policy: Policy, no_faults: bool) -> RunResult {
    let options = Options {
        help: false,
        scenario: String::new(),
        seed,
        policy,
        json: false,
        daemons: 6,
        upstreams: None,
        deployment: None,
        arrival: Arrival::Balanced,
        seconds: 45,
        load_percent: 100,
        hedge_ms: 0,
        migrate_ms: 0,
        no_limits: false,
        no_faults,
    };
    Simulation::new(Setup::new(scenario, &options)).run()
}
