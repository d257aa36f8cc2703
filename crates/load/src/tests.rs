//! Tests of plans and reports.

use crate::{Mix, Plan, Report, RequestOutcome, Sample};

/// Guards against plans that differ between two runs with the same seed.
#[test]
fn plans_repeat_from_their_seed() {
    for mix in [Mix::grifo_comun(), Mix::fliperama()] {
        let plan = Plan::generate(&mix, 50.0, 4, 1);
        assert_eq!(plan, Plan::generate(&mix, 50.0, 4, 1));
        assert_ne!(plan, Plan::generate(&mix, 50.0, 4, 2));
        let count = plan.requests().len();
        assert!((150..250).contains(&count), "{}: {count}", mix.name);
    }
}

/// Guards against an attainment that ignores refused and incomplete requests.
#[test]
fn refusals_and_broken_answers_are_missed() {
    let mut report = Report::new(&Mix::grifo_comun());
    let sample = |outcome, first_token_us, tokens| Sample {
        spec_index: 0,
        outcome,
        first_token_us,
        token_gap_us: 1_000,
        tokens,
    };
    report.add(&sample(RequestOutcome::Complete, 100_000, 5));
    report.add(&sample(RequestOutcome::Abandoned, 100_000, 2));
    report.add(&sample(RequestOutcome::Complete, 900_000, 5));
    report.add(&sample(RequestOutcome::Refused, 0, 0));
    report.add(&sample(RequestOutcome::Broken, 100_000, 3));
    let class = &report.classes()[0];
    assert_eq!(
        (class.requests, class.attained, class.goodput_tokens),
        (5, 2, 10)
    );
}
