use std::{sync::Arc, time::Duration};

use audit::Step;
use code::Code;
use log::{debug, info};
use metric::Attainment;
use ntex::client::Client;
use sched::Outcome;
use serde_json::json;
use wire::{Chunk, DONE, Request};

use crate::{
    attempt::Attempt, core::Decision, handle::JobHandle, progress::Progress, refusal::Refusal,
    shared::Shared,
};

/// Answer of one request, over as many attempts as it takes.
///
/// The caller sees one gapless answer: chunks of a resumed attempt continue the text that earlier
/// attempts delivered, under one identifier.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    client: Client,
    handle: JobHandle,
    request: Request,
    request_id: String,
    attempt: Option<Attempt>,
    attempts: u32,
    received: String,
    progress: Progress,
    finished: bool,
    ended: bool,
    detail: String,
}

impl Relay {
    pub(crate) fn new(
        shared: Arc<Shared>,
        client: Client,
        handle: JobHandle,
        request: Request,
        request_id: String,
        progress: Progress,
    ) -> Self {
        Self {
            shared,
            client,
            handle,
            request,
            request_id,
            attempt: None,
            attempts: 0,
            received: String::new(),
            progress,
            finished: false,
            ended: false,
            detail: String::new(),
        }
    }

    pub(crate) const fn request(&self) -> &Request {
        &self.request
    }

    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Waits for the next chunk; `None` after the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<Chunk>, Refusal> {
        loop {
            let Some(attempt) = self.attempt.as_mut() else {
                self.start_attempt().await?;
                continue;
            };
            let event = tokio::select! {
                biased;
                decision = self.handle.decision() => {
                    self.attempt = None;
                    self.follow(decision).await?;
                    continue;
                }
                event = attempt.next() => event,
            };
            match event {
                Some(data) if data == DONE => {
                    let attempt = self.attempt.take();
                    // First, so that the slot is free at once.
                    self.complete();
                    if let Some(attempt) = attempt {
                        attempt.finish().await;
                    }
                    return Ok(None);
                }
                Some(data) => {
                    if let Some(chunk) = self.take_chunk(&data) {
                        return Ok(Some(chunk));
                    }
                }
                None if self.ended => {
                    self.complete();
                    return Ok(None);
                }
                None => self.lose_attempt(),
            }
        }
    }

    async fn start_attempt(&mut self) -> Result<(), Refusal> {
        let decision = self.handle.decision().await;
        self.follow(decision).await
    }

    async fn follow(&mut self, decision: Decision) -> Result<(), Refusal> {
        match decision {
            Decision::Start {
                upstream,
                attempt,
                priority,
                ..
            } => {
                self.attempts = attempt;
                self.shared.metrics.record_attempt(attempt);
                self.open(&upstream, priority).await;
                Ok(())
            }
            Decision::Refuse {
                code,
                retry_after_ms,
            } => {
                self.note_refusal();
                Err(self.refusal(code).with_retry_after_ms(retry_after_ms))
            }
            Decision::Cancel => {
                self.shared.metrics.record_preemption();
                Ok(())
            }
        }
    }

    async fn open(&mut self, name: &str, priority: i32) {
        // The decision may be from before a pause of this process.
        self.shared.peers.freshness.wait(self.shared.clock).await;
        let view = self.shared.view.load_full();
        let Some(upstream) = view.config.upstream(name) else {
            self.handle.finish(Outcome::NotSent);
            return;
        };
        debug!(
            "relay: {} attempt {} at {name}",
            self.request_id, self.attempts
        );
        let priority = upstream.honours.priority.then_some(priority);
        let body = self
            .request
            .upstream_body(priority, &self.received, self.progress.tokens());
        let form = self.request.form();
        match Attempt::open(&self.client, upstream, form, &self.request_id, body).await {
            Ok(attempt) => self.attempt = Some(attempt),
            Err(error) => {
                self.note_failure(&error.detail);
                self.detail = error.detail;
                let begun = self.progress.tokens() > 0;
                self.handle.finish(match error.outcome {
                    Outcome::LostBeforeAnswer if begun => {
                        Outcome::LostMidStream { resumable: true }
                    }
                    outcome => outcome,
                });
            }
        }
    }

    fn take_chunk(&mut self, data: &str) -> Option<Chunk> {
        let Ok(mut chunk) = Chunk::parse(data) else {
            self.lose_attempt();
            return None;
        };
        if let Some(error) = chunk.error() {
            self.detail = error.to_string();
            self.attempt = None;
            self.handle.finish(Outcome::Failed);
            return None;
        }
        if !chunk.text().is_empty() {
            self.note_token();
            self.received.push_str(chunk.text());
        }
        self.ended |= chunk.finish_reason().is_some();
        chunk.value["id"] = json!(self.request_id);
        if self.attempts > 1 && chunk.usage().is_some() {
            chunk.value["usage"]["completion_tokens"] = json!(self.progress.tokens());
        }
        Some(chunk)
    }

    fn note_token(&mut self) {
        let now_us = self.shared.clock.now_us();
        match self.progress.token(now_us) {
            Some(elapsed_us) => {
                let seconds = Duration::from_micros(elapsed_us).as_secs_f64();
                self.shared
                    .metrics
                    .record_first_token(self.progress.class(), seconds);
                self.shared.record(self.handle.id(), Step::FirstToken);
                self.handle.first_token();
            }
            None => self.handle.tokens(1),
        }
    }

    fn lose_attempt(&mut self) {
        self.attempt = None;
        self.note_failure("connection lost");
        self.handle.finish(if self.progress.tokens() == 0 {
            Outcome::LostBeforeAnswer
        } else {
            Outcome::LostMidStream { resumable: true }
        });
    }

    fn complete(&mut self) {
        self.attempt = None;
        self.finished = true;
        self.handle.finish(Outcome::Complete);
        let (class, tokens) = (self.progress.class(), self.progress.tokens());
        let metrics = &self.shared.metrics;
        metrics.record_complete(class, self.progress.judge_complete(), tokens);
        if let Some(gap_us) = self.progress.mean_gap_us() {
            metrics.record_token_gap(class, Duration::from_micros(gap_us).as_secs_f64());
        }
        let received_tokens = tokens;
        self.shared
            .record(self.handle.id(), Step::Complete { received_tokens });
    }

    fn note_failure(&self, detail: &str) {
        info!(
            "relay: {} attempt {}: {detail}",
            self.request_id, self.attempts
        );
        let step = Step::AttemptFailed {
            detail: detail.into(),
            received_tokens: self.progress.tokens(),
        };
        self.shared.record(self.handle.id(), step);
    }

    fn note_refusal(&mut self) {
        self.finished = true;
        let (class, tokens) = (self.progress.class(), self.progress.tokens());
        self.shared
            .metrics
            .record_incomplete(class, "broken", Attainment::Missed, tokens);
    }

    fn refusal(&self, code: Code) -> Refusal {
        Refusal::new(code).with_detail(&self.detail)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let received_tokens = self.progress.tokens();
        let attainment = self.progress.judge_left(self.shared.clock.now_us());
        self.shared.metrics.record_incomplete(
            self.progress.class(),
            "caller_left",
            attainment,
            received_tokens,
        );
        self.shared
            .record(self.handle.id(), Step::CallerLeft { received_tokens });
    }
}
