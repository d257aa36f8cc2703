use std::{rc::Rc, time::Duration};

use link::{ConnectionPool, RequestError, Response};
use log::info;
use sched::Outcome;
use tokio::time::Instant;

use super::call::Call;
use crate::{adapter::ResponseKind, shared::Shared};

/// Longest pause in the use of a connection after which it still carries calls that may not be
/// repeated: a call that is lost with an old connection can't be told from one that ran.
const IDLE_ONCE_MAX: Duration = Duration::from_secs(4);

/// Longest pause in the use of a connection after which it still carries calls that may be repeated.
const IDLE_MAX: Duration = Duration::from_secs(12);

/// Sends a call to an upstream and waits for the head of its answer.
pub(super) async fn send(
    shared: &Shared,
    links: &Rc<ConnectionPool>,
    call: &Call,
    upstream: &str,
    resume_after: Option<&str>,
) -> Result<Response, Outcome> {
    let view = shared.view.load_full();
    let Some(settings) = view.config.upstream(upstream) else {
        return Err(Outcome::NotSent);
    };
    let adapter = shared.header_adapter();
    let Some(request) = call.request(adapter, settings, resume_after) else {
        return Err(Outcome::NotSent);
    };
    let idle_max = if call.kind.is_repeatable() {
        IDLE_MAX
    } else {
        IDLE_ONCE_MAX
    };
    let answer = match links.send(settings.address, request, idle_max).await {
        Ok(answer) => answer,
        Err(error) => {
            let outcome = outcome_of(&error);
            if outcome == Outcome::NotSent {
                links.close_idle(settings.address);
            }
            note_failure(call, upstream, &error.to_string());
            return Err(outcome);
        }
    };
    match adapter.classify_response(answer.status(), answer.headers(), &call.request_id) {
        ResponseKind::Run => Ok(answer),
        verdict @ (ResponseKind::NotRun | ResponseKind::OtherUpstream) => {
            note_failure(call, upstream, &format!("{verdict:?} {}", answer.status()));
            drain(answer).await;
            Err(Outcome::Rejected)
        }
        ResponseKind::OtherRequest => {
            note_failure(call, upstream, "answer to another request");
            Err(Outcome::LostBeforeAnswer)
        }
    }
}

/// Reads the short body of a rejection, so that its connection can be used again.
async fn drain(mut answer: Response) {
    const REJECTION_MAX_BYTES: usize = 16 * 1024;
    const REJECTION_MAX: Duration = Duration::from_millis(50);
    // A rejection whose body is late or broken is one all the same; only its connection is lost.
    let _ = tokio::time::timeout(REJECTION_MAX, answer.read_body(REJECTION_MAX_BYTES)).await;
}

pub(super) const fn outcome_of(error: &RequestError) -> Outcome {
    match error {
        RequestError::NotSent(_) => Outcome::NotSent,
        RequestError::Lost(_) => Outcome::LostBeforeAnswer,
    }
}

/// Logs and counts the start of an attempt.
pub(super) fn note_start(
    shared: &Shared,
    call: &Call,
    upstream: &str,
    attempt: u32,
    work_tokens: u32,
) {
    shared.metrics.attempt(attempt);
    let now = Instant::now();
    info!(
        "attempt: started request={} upstream={upstream} attempt={attempt} rank={} work_tokens={work_tokens} waited_ms={} left_ms={}",
        call.request_id,
        call.rank,
        now.duration_since(call.arrived).as_millis(),
        call.until.saturating_duration_since(now).as_millis()
    );
}

pub(super) fn note_failure(call: &Call, upstream: &str, detail: &str) {
    info!(
        "attempt: failed request={} upstream={upstream} waited_ms={} detail={detail:?}",
        call.request_id,
        call.arrived.elapsed().as_millis()
    );
}
