//! Benchmark of the scheduling decisions on simulated time.
//!
//! Drives the production schedulers of several daemons against simulated engines, network and
//! callers. The same seed gives the same output, byte for byte.
//!
//! ```text
//! cargo run --release -p bench -- crest --seed 1 --policy grant --json
//! cargo run --release -p bench -- all
//! ```

mod arrival;
mod baseline;
mod check;
mod class_mix;
mod daemon;
mod day;
mod deployment;
mod engine;
mod event;
mod fault;
mod job_info;
mod lengths;
mod measure;
mod network;
mod number;
mod options;
mod policy;
mod report;
mod request;
mod scenario;
mod scheduler;
mod setup;
mod simulation;
mod slot_usage;
mod table;
#[cfg(test)]
mod tests;
mod timeline;
mod workload;

use eyre::{Result, eyre};
use gumdrop::Options as _;

use crate::{
    day::{DayScenario, DaySetup, DaySimulation},
    options::Options,
    scenario::Scenario,
    setup::Setup,
    simulation::Simulation,
};

fn main() -> Result<()> {
    let options = Options::parse_args_default_or_exit();
    if options.scenario == "all" {
        print!("{}", table::targets_table());
        return Ok(());
    }
    if let Some(scenario) = DayScenario::by_name(&options.scenario) {
        print!(
            "{}",
            DaySimulation::new(DaySetup::new(scenario, &options)).run()
        );
        return Ok(());
    }
    let scenario: Scenario = options
        .scenario
        .parse()
        .map_err(|error: String| eyre!(error))?;
    let setup = Setup::new(scenario, &options);
    let outcome = Simulation::new(setup).run();
    if options.json {
        println!("{}", serde_json::to_string(&outcome.report)?);
    } else {
        print!("{outcome}");
    }
    Ok(())
}
