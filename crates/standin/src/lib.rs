//! Stand-ins of a model engine, a plain service and the platform store, for tests; not shipped.
//!
//! Each stand-in is an HTTP server on a loopback port, with a `/control` path that injects faults.
//! Engine and service count on their side what they ran and serve it at `/stats`, so that tests can
//! detect wasted tokens and duplicate execution. The servers run inside the test process or as
//! programs (`standin-engine`, `standin-service`, `standin-store`).

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
