use std::time::Duration;

use super::{Engine, state::Sample};

/// Pause between two load samples.
const SAMPLE_MS: u64 = 100;

/// Runs the steps of the batch.
pub(super) async fn run_steps(engine: Engine) {
    let mut events = Vec::new();
    loop {
        let step_us = engine.with(|inner| {
            inner.reap();
            if inner.batch.is_idle() || inner.control.frozen {
                return None;
            }
            Some(inner.batch.step(&mut events))
        });
        let Some(step_us) = step_us else {
            engine.wake.notified().await;
            continue;
        };
        tokio::time::sleep(Duration::from_micros(step_us)).await;
        engine.with(|inner| events.drain(..).for_each(|event| inner.deliver(event)));
    }
}

/// Keeps the samples of the load that reports show with a lag.
pub(super) async fn sample_load(engine: Engine) {
    loop {
        tokio::time::sleep(Duration::from_millis(SAMPLE_MS)).await;
        engine.with(|inner| {
            let sample = Sample {
                running: inner.batch.running(),
                waiting: inner.batch.waiting(),
            };
            inner.samples.push(sample);
            let kept = usize::try_from(engine.report_lag_ms / SAMPLE_MS).unwrap_or(0) + 1;
            let excess = inner.samples.len().saturating_sub(kept);
            inner.samples.drain(..excess);
        });
    }
}
