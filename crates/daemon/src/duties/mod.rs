//! Singleton duties: calls to the platform that one daemon of the fleet makes at a time.
//!
//! A task that carries out a duty asks [`Held::begin_call`] right before each call, makes the call
//! with the returned token, and passes the result to [`Held::finish_call`].

mod capacity;
mod gather;
mod held;
mod hold;
mod report;
mod status;
mod steady_clock;
mod usage_counter;

pub(crate) use self::{
    capacity::order_upstreams,
    gather::{gather_usage, receive},
    held::Held,
    hold::hold_duties,
    report::report_usage,
    status::status,
    usage_counter::UsageCounter,
};
