//! Router daemon.
//!
//! [`Daemon`] serves callers, upstreams and operators of one host. Every host runs the same daemon;
//! none is set aside for control. All decisions are made by types that do no I/O, most of them in
//! [`sched::Dispatcher`]; this crate carries them out.

pub mod adapter;
mod admin;
mod attempt;
mod calls;
mod claimed;
mod clock;
mod completions;
mod core;
mod directory;
mod follow;
mod grants;
mod handle;
mod input;
mod loads;
mod logs;
mod models;
mod peers;
mod progress;
mod refusal;
mod relay;
mod routed;
mod run;
mod running;
mod services;
mod shared;
mod sharing;
mod sse_body;
mod start;
mod tell_loads;
mod view;

pub use self::{
    logs::init_logging,
    run::{read_host, run},
    running::RunningDaemon,
    start::{Daemon, PlatformAdapter},
};
