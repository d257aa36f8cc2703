//! Stand-in of a model engine: its HTTP server, its batch of sequences and its injected faults.

mod answer;
mod handlers;
mod prompt;
mod state;
mod stats;
mod tasks;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
};

use batch::{BatchEngine, Profile, Sequence};
use lease::UpstreamState;
use ntex::web::{self, App, HttpServer, types};
use tokio::sync::{Notify, mpsc};

pub use self::stats::EngineStats;
use self::{
    handlers::{
        chat, get_commands, get_metrics, get_models, get_stats, post_command, set_control,
        text_completion,
    },
    prompt::Prompt,
    state::{Inner, Stream, Token},
    tasks::{run_steps, sample_load},
};
use crate::{EngineControl, RunningServer};

/// Stand-in of a model engine with continuous batching; clones share one state.
#[derive(Clone)]
pub struct Engine {
    inner: Arc<Mutex<Inner>>,
    wake: Arc<Notify>,
    honours_fencing: bool,
    report_lag_ms: u64,
}

impl Engine {
    /// Creates an engine that serves these models.
    #[must_use]
    pub fn new(profile: Profile, models: &[&str]) -> Self {
        let mut models: Vec<String> = models.iter().map(|&model| model.to_owned()).collect();
        models.sort_unstable();
        let inner = Inner {
            batch: BatchEngine::new(profile),
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

    /// Sets how old the load is that `/metrics` reports; 1 s by default.
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

    /// Returns the models, adapters and role that commands change, with the fencing token.
    #[must_use]
    pub fn state(&self) -> UpstreamState {
        self.with_inner(|inner| inner.state.clone())
    }

    /// Replaces the injected faults.
    pub fn control(&self, control: EngineControl) {
        self.with_inner(|inner| {
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

    /// Returns the counters of the engine.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.with_inner(|inner| {
            let mut stats = inner.stats;
            stats.generated_tokens = inner.batch.generated_tokens();
            stats.prefilled_tokens = inner.batch.prefilled_tokens();
            stats
        })
    }

    /// Starts the server; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn start(&self, address: SocketAddr) -> io::Result<RunningServer> {
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
        let mut running = RunningServer::new(address, server);
        running.spawn(run_steps(self.clone()));
        running.spawn(sample_load(self.clone()));
        Ok(running)
    }

    /// Runs a closure on the locked state.
    fn with_inner<R, F>(&self, action: F) -> R
    where
        F: FnOnce(&mut Inner) -> R,
    {
        action(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a request to the batch and returns the receiver of its tokens; `None` if the engine has
    /// crashed.
    fn add_request(&self, prompt: Prompt, priority: i32) -> Option<mpsc::UnboundedReceiver<Token>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.with_inner(|inner| {
            if inner.control.crashed {
                return None;
            }
            inner.next_id += 1;
            inner.stats.requests += 1;
            let id = inner.next_id;
            let remaining_tokens = prompt
                .output_tokens
                .saturating_sub(prompt.first_index)
                .max(1);
            inner.batch.add(
                Sequence::new(id)
                    .with_priority(priority)
                    .with_prompt_tokens(prompt.input_tokens + prompt.first_index)
                    .with_output_tokens(remaining_tokens),
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
