use crate::{measure::Outcome, number::float, scenario::Scenario};

/// Measured target of one scenario.
pub(crate) struct Check {
    pub(crate) scenario: Scenario,
    /// Run to compare with, if the target is relative.
    pub(crate) baseline: &'static str,
    pub(crate) target: &'static str,
    pub(crate) bound: Bound,
    /// Figure of one seed.
    pub(crate) figure: fn(&Runs) -> f64,
}

/// Which figures meet a target.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Bound {
    AtLeast(f64),
    AtMost(f64),
    /// The scenario has no target.
    Reported,
}

/// Runs of one scenario with one seed.
pub(crate) struct Runs {
    /// Kept policy.
    pub(crate) kept: Outcome,
    /// Kept policy without the scenario's faults.
    pub(crate) calm: Outcome,
    /// Baseline `fifo`.
    pub(crate) fifo: Outcome,
    /// Goodput of the better baseline in `steady`.
    pub(crate) steady_goodput: f64,
}

impl Bound {
    /// Returns whether a figure meets the bound; `None` without one.
    pub(crate) fn is_met(self, figure: f64) -> Option<bool> {
        match self {
            Self::AtLeast(bound) => Some(figure >= bound),
            Self::AtMost(bound) => Some(figure <= bound),
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
            top,
        ),
        check(
            Scenario::Crest,
            "",
            "tier_inversions 0",
            AtMost(0.0),
            |runs| float(runs.kept.report.tier_inversions),
        ),
        check(Scenario::Crest, "", "starved 0", AtMost(0.0), |runs| {
            float(runs.kept.report.starved)
        }),
        check(
            Scenario::Crest,
            "best in steady",
            "goodput at least 0.9 of the baseline's",
            AtLeast(0.9),
            |runs| runs.kept.report.goodput_tokens_per_s / runs.steady_goodput,
        ),
        check(
            Scenario::LongShort,
            "fifo",
            "short_behind_long_p99_ms at most 0.2 of the baseline's",
            AtMost(0.2),
            |runs| {
                let fifo_ms = runs.fifo.report.short_behind_long_p99_ms;
                runs.kept.report.short_behind_long_p99_ms / fifo_ms
            },
        ),
        check(
            Scenario::LongShort,
            "fifo",
            "long jobs' goodput at least 0.9 of the baseline's",
            AtLeast(0.9),
            |runs| runs.kept.goodput[2] / runs.fifo.goodput[2],
        ),
        check(
            Scenario::Stragglers,
            "no stragglers",
            "top tier's ttft_p95_ms at most 1.5 of that without",
            AtMost(1.5),
            |runs| {
                let [kept, calm] = [&runs.kept, &runs.calm];
                kept.report.classes[0].ttft_p95_ms / calm.report.classes[0].ttft_p95_ms
            },
        ),
        check(
            Scenario::Abandon,
            "",
            "wasted_tokens_ratio at most 0.02",
            AtMost(0.02),
            |runs| runs.kept.report.wasted_tokens_ratio,
        ),
        check(
            Scenario::BurstAccount,
            "no burst",
            "the other accounts' attainment drops by at most 0.02",
            AtMost(0.02),
            |runs| runs.calm.others - runs.kept.others,
        ),
    ];
    checks.extend(fault_checks());
    checks
}

fn fault_checks() -> Vec<Check> {
    use Bound::{AtLeast, AtMost, Reported};
    let promises: fn(&Runs) -> f64 = |runs| {
        let Outcome { report, counts, .. } = &runs.kept;
        float(report.tier_inversions + report.starved + counts.stream_gaps)
    };
    let recovered: fn(&Runs) -> f64 = |runs| runs.kept.recovered;
    let mut checks = Vec::new();
    for scenario in [Scenario::HostChurn, Scenario::RegionCut] {
        checks.push(check(
            scenario,
            "",
            "no promise violated",
            AtMost(0.0),
            promises,
        ));
        checks.push(check(
            scenario,
            "",
            "top tier's attainment from 5 s after a fault at least 0.95",
            AtLeast(0.95),
            recovered,
        ));
    }
    for scenario in [Scenario::Steady, Scenario::EngineCrash] {
        checks.push(check(scenario, "", "top tier's attainment", Reported, top));
    }
    checks
}

fn check(
    scenario: Scenario,
    baseline: &'static str,
    target: &'static str,
    bound: Bound,
    figure: fn(&Runs) -> f64,
) -> Check {
    Check {
        scenario,
        baseline,
        target,
        bound,
        figure,
    }
}

fn top(runs: &Runs) -> f64 {
    runs.kept.report.classes[0].attainment
}
