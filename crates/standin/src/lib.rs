//! Stand-ins for engine, plain service and platform store. Not shipped.
//!
//! Each stand-in is an HTTP server on a loopback port with a `/control` path that injects faults
//! and a `/stats` path that counts from its own side what it ran, so that tests see waste and
//! double execution. The same servers run as programs (`standin-engine`, `standin-service`,
//! `standin-store`) and inside one process.

mod control;
mod engine;
mod running;
mod samples;
mod service;
mod store;
mod text;

pub use self::{
    control::{EngineControl, ServiceControl, StoreControl},
    engine::{Engine, EngineStats},
    running::RunningServer,
    samples::{SAMPLE_KEY, SAMPLE_MODEL, sample_config, sample_host},
    service::{Service, ServiceCall, ServiceStats},
    store::Store,
    text::{answer_text, answer_word},
};
