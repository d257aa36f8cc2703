//! Relays the response to one model request, across as many attempts as needed.

use std::{rc::Rc, sync::Arc, time::Duration};

use audit::Step;
use code::Code;
use link::ConnectionPool;
use log::{debug, info};
use metric::Attainment;
use sched::Outcome;
use serde_json::json;
use tokio::time::Instant;
use wire::{Chunk, DONE, Request};

use crate::{
    attempt::Attempt, core::Decision, handle::JobHandle, holds::Hold, notices, progress::Progress,
    refusal::Refusal, send_check::may_send, shared::Shared,
};

/// Response to one request, across as many attempts as needed.
///
/// The caller sees one response without gaps: chunks of a resumed attempt continue the text that
/// earlier attempts delivered, under the same identifier.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    pool: Rc<ConnectionPool>,
    handle: JobHandle,
    request: Request,
    request_id: String,
    attempt: Option<Attempt>,
    attempts: u32,
    /// Text that the caller has received so far; a resumed attempt continues it.
    received_text: String,
    progress: Progress,
    /// Whether the request has ended and its metrics are recorded.
    finished: bool,
    /// Whether the engine has sent a finish reason.
    has_finish_reason: bool,
    /// Description of the last failure, for the refusal.
    detail: String,
    /// Memory that is held for the request.
    hold: Option<Hold>,
}

impl Relay {
    /// Creates the relay of a request whose job was submitted.
    pub(crate) fn new(
        shared: Arc<Shared>,
        pool: Rc<ConnectionPool>,
        handle: JobHandle,
        request: Request,
        request_id: String,
        progress: Progress,
    ) -> Self {
        Self {
            shared,
            pool,
            handle,
            request,
            request_id,
            attempt: None,
            attempts: 0,
            received_text: String::new(),
            progress,
            finished: false,
            has_finish_reason: false,
            detail: String::new(),
            hold: None,
        }
    }

    /// Keeps the memory that is held for the request as long as the relay.
    pub(crate) fn with_hold(mut self, hold: Option<Hold>) -> Self {
        self.hold = hold;
        self
    }

    /// Returns the caller's request.
    pub(crate) const fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the identifier of the request.
    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Waits for the next chunk; `None` after the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<Chunk>, Refusal> {
        let (shared, id) = (self.shared.clone(), self.handle.id());
        match shared.until_stop_expires(id, self.next_chunk()).await {
            Ok(chunk) => chunk,
            Err(code) => {
                self.attempt = None;
                self.record_refusal();
                Err(self.refusal(code))
            }
        }
    }

    async fn next_chunk(&mut self) -> Result<Option<Chunk>, Refusal> {
        loop {
            let Some(attempt) = self.attempt.as_mut() else {
                self.next_attempt().await?;
                continue;
            };
            let event = tokio::select! {
                biased;
                decision = self.handle.decision() => {
                    self.attempt = None;
                    self.carry_out(decision).await?;
                    continue;
                }
                event = attempt.next() => event,
            };
            match event {
                Some(data) if data == DONE => {
                    let attempt = self.attempt.take();
                    // Before reading the end of the body, so that the slot is free at once.
                    self.complete();
                    if let Some(attempt) = attempt {
                        attempt.finish().await;
                    }
                    return Ok(None);
                }
                Some(data) => {
                    if let Some(chunk) = self.process_chunk(&data) {
                        return Ok(Some(chunk));
                    }
                }
                None if self.has_finish_reason => {
                    self.complete();
                    return Ok(None);
                }
                None => self.lose_attempt(),
            }
        }
    }

    /// Waits for a decision and carries it out.
    async fn next_attempt(&mut self) -> Result<(), Refusal> {
        let decision = self.handle.decision().await;
        self.carry_out(decision).await
    }

    /// Carries out a decision of the dispatcher.
    async fn carry_out(&mut self, decision: Decision) -> Result<(), Refusal> {
        match decision {
            Decision::Start {
                upstream,
                attempt,
                chosen_us,
                priority,
                ..
            } => {
                self.attempts = attempt;
                self.shared.metrics.record_attempt(attempt);
                self.open_attempt(&upstream, chosen_us, priority).await;
                Ok(())
            }
            Decision::Refuse {
                code,
                retry_after_ms,
            } => {
                self.record_refusal();
                Err(self.refusal(code).with_retry_after_ms(retry_after_ms))
            }
            Decision::Cancel => {
                self.shared.metrics.record_preemption();
                Ok(())
            }
        }
    }

    /// Sends the request to an upstream; for a resumed response, with the text received so far.
    async fn open_attempt(&mut self, name: &str, chosen_us: u64, priority: i32) {
        // The decision may date from before a suspension of this process.
        self.shared
            .peers
            .freshness
            .wait_until_fresh(self.shared.clock)
            .await;
        let snapshot = self.shared.snapshot.load_full();
        let Some(upstream) = snapshot.config.upstream(name) else {
            self.handle.finish(Outcome::NotSent);
            return;
        };
        debug!(
            "relay: {} attempt {} at {name}",
            self.request_id, self.attempts
        );
        let sent_at = Instant::now();
        let priority = upstream.honours.priority.then_some(priority);
        let body =
            self.request
                .upstream_body(priority, &self.received_text, self.progress.tokens());
        let form = self.request.form();
        let may_send = || may_send(&self.shared, &self.request_id, upstream, chosen_us);
        let opened = Attempt::open(&self.pool, upstream, form, &self.request_id, body, may_send);
        match opened.await {
            Ok(attempt) => self.attempt = Some(attempt),
            Err(error) => {
                self.record_failure(&error.detail);
                let started_ms = upstream.started_ms;
                notices::apply(
                    &self.shared,
                    &self.request_id,
                    name,
                    started_ms,
                    sent_at,
                    &error.notice,
                );
                self.detail = error.detail;
                let has_tokens = self.progress.tokens() > 0;
                self.handle.finish(match error.outcome {
                    Outcome::LostBeforeAnswer if has_tokens => {
                        Outcome::LostMidStream { resumable: true }
                    }
                    outcome => outcome,
                });
            }
        }
    }

    /// Parses and records a chunk, and sets the fields that the caller sees. Returns `None` if the
    /// attempt failed with it.
    fn process_chunk(&mut self, data: &str) -> Option<Chunk> {
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
            self.record_token();
            self.received_text.push_str(chunk.text());
        }
        self.has_finish_reason |= chunk.finish_reason().is_some();
        chunk.value["id"] = json!(self.request_id);
        if self.attempts > 1 && chunk.usage().is_some() {
            chunk.value["usage"]["completion_tokens"] = json!(self.progress.tokens());
        }
        Some(chunk)
    }

    /// Records a token in progress, metrics and dispatcher.
    fn record_token(&mut self) {
        let now_us = self.shared.clock.now_us();
        match self.progress.record_token(now_us) {
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

    /// Ends the current attempt after its connection was lost.
    fn lose_attempt(&mut self) {
        self.attempt = None;
        self.record_failure("connection lost");
        self.handle.finish(if self.progress.tokens() == 0 {
            Outcome::LostBeforeAnswer
        } else {
            Outcome::LostMidStream { resumable: true }
        });
    }

    /// Ends the request successfully and records its metrics.
    fn complete(&mut self) {
        self.attempt = None;
        self.finished = true;
        self.handle.finish(Outcome::Complete);
        let (class, tokens) = (self.progress.class(), self.progress.tokens());
        let metrics = &self.shared.metrics;
        metrics.record_complete(class, self.progress.attainment_if_complete(), tokens);
        if let Some(gap_us) = self.progress.mean_gap_us() {
            metrics.record_token_gap(class, Duration::from_micros(gap_us).as_secs_f64());
        }
        let received_tokens = tokens;
        self.shared
            .record(self.handle.id(), Step::Complete { received_tokens });
    }

    /// Logs a failed attempt and records it in the journal.
    fn record_failure(&self, detail: &str) {
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

    /// Records in the metrics that the request ended with a refusal.
    fn record_refusal(&mut self) {
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
        let attainment = self
            .progress
            .attainment_if_caller_left(self.shared.clock.now_us());
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
