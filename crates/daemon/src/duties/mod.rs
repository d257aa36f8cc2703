//! Singleton duties: calls to the platform that one daemon of the fleet makes at a time.
//!
//! A task that carries out a duty asks [`Held::begin_call`] right before each call, makes the call
//! with the returned token, and passes the result to [`Held::finish_call`].

#![allow(
    dead_code,
    unused_imports,
    reason = "interface of the tasks that follow"
)]

mod capacity;
mod held;
mod steady_clock;

pub(crate) use self::{
    capacity::order_upstreams,
    held::{Held, Hold, LastCall},
};
