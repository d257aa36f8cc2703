//! Router daemon.
//!
//! [`Daemon`] serves the callers, peers and operators of one host. Every host runs the same daemon;
//! there is no central controller. Decisions are made by types that do no I/O, mainly
//! [`sched::Dispatcher`]; this crate does the I/O and carries them out.

pub mod adapter;
mod admin;
mod announce_loads;
mod answer;
mod attempt;
mod caller_connections;
mod caller_io;
mod claimed;
mod clock;
mod completions;
mod config_snapshot;
mod core;
mod directory;
mod duties;
mod fingerprint;
mod follow;
mod grants;
mod handle;
mod holds;
mod input;
#[cfg(test)]
mod leaving_tests;
mod loads;
mod logs;
mod models;
mod notices;
#[cfg(test)]
mod outage_tests;
mod peers;
mod pending_work;
mod progress;
mod prompt_evidence;
mod prompt_store;
mod refusal;
mod relay;
mod response_body;
mod routed;
mod run;
mod running;
mod send_check;
mod services;
mod shared;
mod sharing;
mod sse_body;
mod start;
mod upstream_evidence;

pub use self::{
    logs::init_logging,
    run::{read_host, run},
    running::RunningDaemon,
    start::{Daemon, PlatformAdapter},
};
