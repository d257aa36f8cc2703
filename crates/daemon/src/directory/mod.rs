//! Configuration and upstreams that the platform's store holds.

mod fleet;
mod follow;
mod roster;

pub(crate) use self::{
    fleet::Fleet,
    follow::{follow_config, follow_daemons, follow_upstreams},
};
