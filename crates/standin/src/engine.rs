use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use batch::{Batch, Event, Profile, Sequence};
use futures::stream;
use lease::{Command, UpstreamState};
use ntex::{
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, HttpServer, types},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use wire::{DONE, Form, encode_event};

use crate::{EngineControl, Running, service::dropped, text};

/// What the engine did, counted from its own side.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests that began to run or wait.
    pub requests: u64,
    /// Requests whose caller left before the last token.
    pub cancelled: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Tokens generated after the connection of their request was gone.
    pub wasted_tokens: u64,
    /// Prompt tokens prefilled.
    pub prefilled_tokens: u64,
}

/// Load of which reports tell, as it was `report_lag_ms` ago.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    running: usize,
    waiting: usize,
}

struct Stream {
    id: u64,
    prompt: String,
    first_index: u32,
    sent_tokens: u32,
    sender: mpsc::UnboundedSender<Token>,
}

struct Token {
    text: String,
    last: bool,
}

struct Inner {
    batch: Batch,
    control: EngineControl,
    streams: Vec<Stream>,
    stats: EngineStats,
    next_id: u64,
    samples: Vec<Sample>,
    state: UpstreamState,
}

/// Stand-in of a model engine with continuous batching.
#[derive(Clone)]
pub struct Engine {
    inner: Arc<Mutex<Inner>>,
    wake: Arc<Notify>,
    honours_fencing: bool,
    report_lag_ms: u64,
}

/// Pause between two load samples.
const SAMPLE_MS: u64 = 100;

impl Engine {
    /// Creates an engine that serves these models.
    #[must_use]
    pub fn new(profile: Profile, models: &[&str]) -> Self {
        let mut models: Vec<String> = models.iter().map(|&model| model.to_owned()).collect();
        models.sort_unstable();
        let inner = Inner {
            batch: Batch::new(profile),
            control: EngineControl::default(),
            streams: Vec::new(),
            stats: EngineStats::default(),
            next_id: 0,
            samples: Vec::new(),
            state: UpstreamState {
                models,
                ..UpstreamState::default()
            },
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            wake: Arc::new(Notify::new()),
            honours_fencing: false,
            report_lag_ms: 1_000,
        }
    }

    /// Sets the age of the load that `/metrics` reports.
    #[must_use]
    pub const fn with_report_lag_ms(mut self, report_lag_ms: u64) -> Self {
        self.report_lag_ms = report_lag_ms;
        self
    }

    /// Sets whether commands with a stale fencing token are refused.
    #[must_use]
    pub const fn with_fencing(mut self, honours_fencing: bool) -> Self {
        self.honours_fencing = honours_fencing;
        self
    }

    /// Returns the state that commands change.
    #[must_use]
    pub fn state(&self) -> UpstreamState {
        self.with(|inner| inner.state.clone())
    }

    /// Replaces the injected faults.
    pub fn control(&self, control: EngineControl) {
        self.with(|inner| {
            if control.crashed {
                inner.streams.clear();
                inner.batch.clear();
            }
            inner
                .batch
                .set_slowdown_percent(match control.slowdown_percent {
                    0 => 100,
                    percent => percent,
                });
            inner.control = control;
        });
        self.wake.notify_one();
    }

    /// Returns what the engine did.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.with(|inner| {
            let mut stats = inner.stats;
            stats.generated_tokens = inner.batch.generated_tokens();
            stats.prefilled_tokens = inner.batch.prefilled_tokens();
            stats
        })
    }

    /// Starts the server; port 0 picks a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(&self, address: SocketAddr) -> io::Result<Running> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let engine = self.clone();
        let server = HttpServer::new(async move || {
            App::new()
                .state(engine.clone())
                .state(types::PayloadConfig::new(64 * 1024 * 1024))
                .service(web::resource("/control").route(web::post().to(set_control)))
                .service(web::resource("/stats").route(web::get().to(get_stats)))
                .service(web::resource("/metrics").route(web::get().to(get_metrics)))
                .service(
                    web::resource("/commands")
                        .route(web::get().to(get_commands))
                        .route(web::post().to(post_command)),
                )
                .service(web::resource("/v1/models").route(web::get().to(get_models)))
                .service(web::resource("/v1/chat/completions").route(web::post().to(chat)))
                .service(web::resource("/v1/completions").route(web::post().to(text_completion)))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        let mut running = Running::new(address, server);
        running.spawn(run_steps(self.clone()));
        running.spawn(sample_load(self.clone()));
        Ok(running)
    }

    fn with<R, F>(&self, act: F) -> R
    where
        F: FnOnce(&mut Inner) -> R,
    {
        act(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn add(&self, prompt: Prompt, priority: i32) -> Option<mpsc::UnboundedReceiver<Token>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.with(|inner| {
            if inner.control.crashed {
                return None;
            }
            inner.next_id += 1;
            inner.stats.requests += 1;
            let id = inner.next_id;
            let left = prompt
                .answer_tokens
                .saturating_sub(prompt.first_index)
                .max(1);
            inner.batch.add(
                Sequence::new(id)
                    .with_priority(priority)
                    .with_prompt_tokens(prompt.length_tokens + prompt.first_index)
                    .with_output_tokens(left),
            );
            inner.streams.push(Stream {
                id,
                prompt: prompt.text,
                first_index: prompt.first_index,
                sent_tokens: 0,
                sender,
            });
            Some(())
        })?;
        self.wake.notify_one();
        Some(receiver)
    }
}

impl Inner {
    fn deliver(&mut self, event: Event) {
        let Event::Token { id, index, last } = event;
        let Ok(position) = self.streams.binary_search_by_key(&id, |stream| stream.id) else {
            return;
        };
        let stream = &mut self.streams[position];
        stream.sent_tokens += 1;
        let text = text::word(&stream.prompt, stream.first_index + index);
        let gone = stream.sender.send(Token { text, last }).is_err();
        let dropped = self.control.drop_after_tokens > 0
            && stream.sent_tokens >= self.control.drop_after_tokens;
        if gone {
            self.stats.cancelled += 1;
            self.stats.wasted_tokens += 1;
        }
        if gone || dropped || last {
            self.batch.cancel(id);
            self.streams.remove(position);
        }
    }

    /// Cancels the sequences whose caller has left.
    fn reap(&mut self) {
        let batch = &mut self.batch;
        let stats = &mut self.stats;
        self.streams.retain(|stream| {
            if !stream.sender.is_closed() {
                return true;
            }
            batch.cancel(stream.id);
            stats.cancelled += 1;
            false
        });
    }
}

async fn run_steps(engine: Engine) {
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

async fn sample_load(engine: Engine) {
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

struct Prompt {
    text: String,
    length_tokens: u32,
    answer_tokens: u32,
    first_index: u32,
}

impl Prompt {
    fn chat(body: &Value) -> Self {
        let messages = body["messages"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        let (messages, begun) = match messages.split_last() {
            Some((last, rest)) if body["continue_final_message"] == true => {
                (rest, last["content"].as_str().unwrap_or_default())
            }
            _ => (messages, ""),
        };
        let text = messages
            .iter()
            .map(|message| content_text(&message["content"]))
            .collect();
        Self::new(body, text, begun)
    }

    fn text(body: &Value) -> Self {
        Self::new(
            body,
            body["prompt"].as_str().unwrap_or_default().to_owned(),
            "",
        )
    }

    fn new(body: &Value, text: String, begun: &str) -> Self {
        let first_index = u32::try_from(begun.split_whitespace().count()).unwrap_or(0);
        let limit = body["max_completion_tokens"]
            .as_u64()
            .or_else(|| body["max_tokens"].as_u64());
        let limit = limit
            .and_then(|limit| u32::try_from(limit).ok())
            .unwrap_or(u32::MAX);
        let answer_tokens = text::answer_tokens(&text).min(limit.saturating_add(first_index));
        let length_tokens = u32::try_from(text.len() / 4 + 1).unwrap_or(u32::MAX);
        Self {
            text,
            length_tokens,
            answer_tokens,
            first_index,
        }
    }
}

fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => parts
            .iter()
            .filter_map(|part| part["text"].as_str())
            .collect::<Vec<_>>()
            .join(" "),
        _ => String::new(),
    }
}

async fn chat(
    request: HttpRequest,
    engine: types::State<Engine>,
    body: types::Json<Value>,
) -> HttpResponse {
    let prompt = Prompt::chat(&body);
    complete(&request, &engine, &body, prompt, Form::Chat).await
}

async fn text_completion(
    request: HttpRequest,
    engine: types::State<Engine>,
    body: types::Json<Value>,
) -> HttpResponse {
    let prompt = Prompt::text(&body);
    complete(&request, &engine, &body, prompt, Form::Text).await
}

async fn complete(
    request: &HttpRequest,
    engine: &Engine,
    body: &Value,
    prompt: Prompt,
    form: Form,
) -> HttpResponse {
    if engine.with(|inner| inner.control.rejecting) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let priority = body["priority"]
        .as_i64()
        .and_then(|value| i32::try_from(value).ok());
    let prompt_tokens = prompt.length_tokens;
    let Some(receiver) = engine.add(prompt, priority.unwrap_or(0)) else {
        return dropped();
    };
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let head = Head {
        form,
        model,
        prompt_tokens,
        completion_tokens: 0,
    };
    let mut response = HttpResponse::Ok();
    if let Some(id) = request.headers().get("x-request-id") {
        response.header("x-request-id", id.clone());
    }
    if body["stream"] == true {
        let tokens = stream::unfold((head, receiver, false), next_event);
        return response
            .content_type("text/event-stream")
            .streaming(Box::pin(tokens));
    }
    let mut receiver = receiver;
    let (mut text, mut count, mut complete) = (String::new(), 0_u32, false);
    while let Some(token) = receiver.recv().await {
        text.push_str(&token.text);
        count += 1;
        complete = token.last;
    }
    if complete {
        response.json(&head.whole(&text, count))
    } else {
        dropped()
    }
}

struct Head {
    form: Form,
    model: String,
    prompt_tokens: u32,
    completion_tokens: u32,
}

impl Head {
    fn usage(&self, completion_tokens: u32) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
        })
    }

    fn chunk(&self, token: &Token) -> Value {
        let reason = token.last.then_some("stop");
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0, "delta": {"content": token.text}, "finish_reason": reason,
            }),
            Form::Text => json!({"index": 0, "text": token.text, "finish_reason": reason}),
        };
        let object = match self.form {
            Form::Chat => "chat.completion.chunk",
            Form::Text => "text_completion",
        };
        json!({
            "id": "engine", "object": object, "created": 0, "model": self.model,
            "choices": [choice],
        })
    }

    fn whole(&self, text: &str, completion_tokens: u32) -> Value {
        let mut choice = json!({"index": 0, "finish_reason": "stop"});
        match self.form {
            Form::Chat => choice["message"] = json!({"role": "assistant", "content": text}),
            Form::Text => choice["text"] = json!(text),
        }
        json!({
            "id": "engine", "object": self.form.object(), "created": 0, "model": self.model,
            "choices": [choice], "usage": self.usage(completion_tokens),
        })
    }
}

type Pending = (Head, mpsc::UnboundedReceiver<Token>, bool);

async fn next_event(
    (mut head, mut receiver, done): Pending,
) -> Option<(Result<Bytes, io::Error>, Pending)> {
    if done {
        return None;
    }
    let Some(token) = receiver.recv().await else {
        return Some((
            Err(io::Error::other("injected fault")),
            (head, receiver, true),
        ));
    };
    head.completion_tokens += 1;
    let mut data = encode_event(&head.chunk(&token).to_string());
    if token.last {
        let usage = json!({
            "id": "engine", "object": "chat.completion.chunk", "created": 0,
            "model": head.model, "choices": [], "usage": head.usage(head.completion_tokens),
        });
        data.push_str(&encode_event(&usage.to_string()));
        data.push_str(&encode_event(DONE));
    }
    Some((Ok(Bytes::from(data)), (head, receiver, token.last)))
}

async fn set_control(
    engine: types::State<Engine>,
    control: types::Json<EngineControl>,
) -> HttpResponse {
    engine.control(control.into_inner());
    HttpResponse::Ok().finish()
}

async fn get_stats(engine: types::State<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.stats())
}

async fn get_metrics(engine: types::State<Engine>) -> HttpResponse {
    let sample = engine.with(|inner| inner.samples.first().copied().unwrap_or_default());
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(format!(
        "vllm:num_requests_running {}\nvllm:num_requests_waiting {}\nvllm:kv_cache_usage_perc 0\n",
        sample.running, sample.waiting
    ))
}

async fn get_models(engine: types::State<Engine>) -> HttpResponse {
    let data: Vec<Value> = engine
        .state()
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model"}))
        .collect();
    HttpResponse::Ok().json(&json!({"object": "list", "data": data}))
}

async fn get_commands(engine: types::State<Engine>) -> HttpResponse {
    if engine.with(|inner| inner.control.crashed) {
        return dropped();
    }
    HttpResponse::Ok().json(&engine.state())
}

async fn post_command(engine: types::State<Engine>, command: types::Json<Command>) -> HttpResponse {
    let honours_fencing = engine.honours_fencing;
    engine.with(|inner| {
        let control = &mut inner.control;
        if control.crashed || take_one(&mut control.lose_commands) {
            return dropped();
        }
        if take_one(&mut control.ignore_commands) {
            return HttpResponse::Ok().json(&json!({"applied": true}));
        }
        let lost = take_one(&mut control.lose_command_answers);
        let applied = inner.state.take(&command, honours_fencing);
        if lost {
            return dropped();
        }
        let token = inner.state.token;
        let mut answer = if applied {
            HttpResponse::Ok()
        } else {
            HttpResponse::Conflict()
        };
        answer.json(&json!({"applied": applied, "token": token}))
    })
}

const fn take_one(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
