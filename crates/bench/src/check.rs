//! Targets of the scenarios, as the table of `bench all` lists them.

use crate::{measure::RunResult, number::to_f64, scenario::Scenario};

/// Target of one scenario.
pub(crate) struct Check {
    pub(crate) scenario: Scenario,
    /// Run that the target is relative to, if any.
    pub(crate) baseline: &'static str,
    pub(crate) target: &'static str,
    pub(crate) bound: Bound,
    /// Computes the measured value for one seed.
    pub(crate) value: fn(&Runs) -> f64,
}

/// Values that meet a target.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Bound {
    AtLeast(f64),
    AtMost(f64),
    /// No target: the value is only reported.
    Reported,
}

/// Runs of one scenario with one seed.
pub(crate) struct Runs {
    /// Default policy.
    pub(crate) default_policy: RunResult,
    /// Default policy without the scenario's faults.
    pub(crate) no_faults: RunResult,
    /// Baseline `fifo`.
    pub(crate) fifo: RunResult,
    /// Goodput of the better baseline in `steady`.
    pub(crate) steady_goodput: f64,
}

impl Bound {
    /// Returns whether a value meets the bound; `None` without a bound.
    pub(crate) fn is_met(self, value: f64) -> Option<bool> {
        match self {
            Self::AtLeast(bound) => Some(value >= bound),
            Self::AtMost(bound) => Some(value <= bound),
            Self::Reported => None,
        }
    }
}

/// Returns the targets of the design page, section 2.
pub(crate) fn checks() -> Vec<Check> {
    use Bound::{AtLeast, AtMost};
    let mut checks = vec![
        check(
            Scenario::Crest,
            "",
            "top tier's attainment at least 0.95",
            AtLeast(0.95),
            top_tier_attainment,
        ),
        check(
            Scenario::Crest,
            "",
            "tier_inversions 0",
            AtMost(0.0),
            |runs| to_f64(runs.default_policy.report.tier_inversions),
        ),
        check(Scenario::Crest, "", "starved 0", AtMost(0.0), |runs| {
            to_f64(runs.default_policy.report.starved)
        }),
        check(
            Scenario::Crest,
            "best in steady",
            "goodput at least 0.9 of the baseline's",
            AtLeast(0.9),
            |runs| runs.default_policy.report.goodput_tokens_per_s / runs.steady_goodput,
        ),
        check(
            Scenario::LongShort,
            "fifo",
            "short_behind_long_p99_ms at most 0.2 of the baseline's",
            AtMost(0.2),
            |runs| {
                let fifo_ms = runs.fifo.report.short_behind_long_p99_ms;
                runs.default_policy.report.short_behind_long_p99_ms / fifo_ms
            },
        ),
        check(
            Scenario::LongShort,
            "fifo",
            "long jobs' goodput at least 0.9 of the baseline's",
            AtLeast(0.9),
            |runs| runs.default_policy.goodput[2] / runs.fifo.goodput[2],
        ),
        check(
            Scenario::Stragglers,
            "no stragglers",
            "top tier's ttft_p95_ms at most 1.5 of that without",
            AtMost(1.5),
            |runs| {
                let [default_policy, no_faults] = [&runs.default_policy, &runs.no_faults];
                default_policy.report.classes[0].ttft_p95_ms
                    / no_faults.report.classes[0].ttft_p95_ms
            },
        ),
        check(
            Scenario::Abandon,
            "",
            "wasted_tokens_ratio at most 0.02",
            AtMost(0.02),
            |runs| runs.default_policy.report.wasted_tokens_ratio,
        ),
        check(
            Scenario::BurstAccount,
            "no burst",
            "the other accounts' attainment drops by at most 0.02",
            AtMost(0.02),
            |runs| {
                runs.no_faults.other_accounts_attainment
                    - runs.default_policy.other_accounts_attainment
            },
        ),
    ];
    checks.extend(fault_checks());
    checks
}

fn fault_checks() -> Vec<Check> {
    use Bound::{AtLeast, AtMost, Reported};
    let violations: fn(&Runs) -> f64 = |runs| {
        let RunResult { report, counts, .. } = &runs.default_policy;
        to_f64(report.tier_inversions + report.starved + counts.stream_gaps)
    };
    let after_faults: fn(&Runs) -> f64 = |runs| runs.default_policy.attainment_after_faults;
    let mut checks = Vec::new();
    for scenario in [Scenario::HostChurn, Scenario::RegionCut] {
        checks.push(check(
            scenario,
            "",
            "no promise violated",
            AtMost(0.0),
            violations,
        ));
        checks.push(check(
            scenario,
            "",
            "top tier's attainment from 5 s after a fault at least 0.95",
            AtLeast(0.95),
            after_faults,
        ));
    }
    for scenario in [Scenario::Steady, Scenario::EngineCrash] {
        checks.push(check(
            scenario,
            "",
            "top tier's attainment",
            Reported,
            top_tier_attainment,
        ));
    }
    checks
}

fn check(
    scenario: Scenario,
    baseline: &'static str,
    target: &'static str,
    bound: Bound,
    value: fn(&Runs) -> f64,
) -> Check {
    Check {
        scenario,
        baseline,
        target,
        bound,
        value,
    }
}

fn top_tier_attainment(runs: &Runs) -> f64 {
    runs.default_policy.report.classes[0].attainment
}
