use std::{collections::VecDeque, io, time::Duration};

use futures::StreamExt as _;
use ntex::{
    client::{
        Client, ClientRequest,
        error::{ClientError, ConnectError},
    },
    http::{Payload, StatusCode},
};
use sched::Outcome;
use settings::Upstream;
use wire::{Form, SseDecoder};

/// Longest silence of an engine before the first token.
const FIRST_EVENT_MAX: Duration = Duration::from_mins(1);

/// Longest silence of an engine between two tokens; a frozen engine is left after it.
const EVENT_GAP_MAX: Duration = Duration::from_secs(5);

/// Longest wait for the end of a body after its last event.
const END_MAX: Duration = Duration::from_millis(100);

/// Largest incomplete event that is held.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Stream of one attempt at an engine; dropping it closes the connection.
pub(crate) struct Attempt {
    payload: Payload,
    decoder: SseDecoder,
    events: VecDeque<String>,
    begun: bool,
}

/// Attempt that failed before the stream began.
pub(crate) struct AttemptError {
    pub(crate) outcome: Outcome,
    pub(crate) detail: String,
}

impl Attempt {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn open(
        client: &Client,
        upstream: &Upstream,
        form: Form,
        request_id: &str,
        body: String,
    ) -> Result<Self, AttemptError> {
        let url = format!("http://{}{}", upstream.address, form.path());
        let request: ClientRequest = client
            .post(url)
            .header("x-request-id", request_id)
            .content_type("application/json");
        let sent = tokio::time::timeout(FIRST_EVENT_MAX, request.send_body(body)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                return Err(AttemptError::new(outcome_of(&error), &error.to_string()));
            }
            Err(_) => return Err(AttemptError::new(Outcome::LostBeforeAnswer, "timeout")),
        };
        let echoed = response
            .header("x-request-id")
            .and_then(|value| value.to_str().ok());
        if echoed.is_some_and(|echoed| echoed != request_id) {
            return Err(AttemptError::new(
                Outcome::LostBeforeAnswer,
                "answer to another request",
            ));
        }
        match response.status() {
            StatusCode::OK => Ok(Self {
                payload: response.take_payload(),
                decoder: SseDecoder::default(),
                events: VecDeque::new(),
                begun: false,
            }),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(AttemptError::new(Outcome::Rejected, "upstream is busy"))
            }
            status => {
                let body = response.body().await.unwrap_or_default();
                let detail = format!("status {status}: {}", String::from_utf8_lossy(&body));
                Err(AttemptError::new(Outcome::Failed, &detail))
            }
        }
    }

    /// Waits for the next event; `None` if the connection was lost or the engine went silent.
    pub(crate) async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(event) = self.events.pop_front() {
                self.begun = true;
                return Some(event);
            }
            let limit = if self.begun {
                EVENT_GAP_MAX
            } else {
                FIRST_EVENT_MAX
            };
            let bytes = tokio::time::timeout(limit, self.payload.next())
                .await
                .ok()??
                .ok()?;
            let mut events = Vec::new();
            self.decoder.push(&bytes, &mut events);
            self.events.extend(events);
            if self.decoder.pending_bytes() > EVENT_MAX_BYTES {
                return None;
            }
        }
    }

    /// Reads the end of the answer's body, so that the connection can be used again.
    ///
    /// It follows the last event at once; an engine that is slower loses the connection instead.
    pub(crate) async fn finish(mut self) {
        let rest = async { while let Some(Ok(_)) = self.payload.next().await {} };
        let _ = tokio::time::timeout(END_MAX, rest).await;
    }
}

impl AttemptError {
    fn new(outcome: Outcome, detail: &str) -> Self {
        Self {
            outcome,
            detail: detail.to_owned(),
        }
    }
}

/// Returns what a failed send proves: only a connection that was never opened sent nothing.
pub(crate) fn outcome_of(error: &ClientError) -> Outcome {
    match error {
        ClientError::Connect(
            ConnectError::Resolver(_) | ConnectError::NoRecords | ConnectError::Unresolved,
        ) => Outcome::NotSent,
        ClientError::Connect(ConnectError::Disconnected(Some(error)))
            if error.kind() == io::ErrorKind::ConnectionRefused =>
        {
            Outcome::NotSent
        }
        _ => Outcome::LostBeforeAnswer,
    }
}
