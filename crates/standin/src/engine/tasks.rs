//! Background tasks of the engine stand-in.

use std::time::Duration;

use super::{Engine, state::LoadSample};

/// Time between two load samples.
const SAMPLE_MS: u64 = 100;

/// Runs the steps of the batch in real time and sends the generated tokens.
pub(super) async fn run_steps(engine: Engine) {
    let mut events = Vec::new();
    loop {
        let step_us = engine.with_inner(|inner| {
            inner.cancel_disconnected();
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
        engine.with_inner(|inner| events.drain(..).for_each(|event| inner.handle_event(event)));
    }
}

/// Samples the load and keeps as many samples as the lag of the reports needs.
pub(super) async fn sample_load(engine: Engine) {
    loop {
        tokio::time::sleep(Duration::from_millis(SAMPLE_MS)).await;
        engine.with_inner(|inner| {
            let sample = LoadSample {
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
