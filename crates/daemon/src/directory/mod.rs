//! Configuration, upstreams and daemons as listed in the platform's store.
//!
//! The tasks in [`follow`] poll the store. [`ClusterState`] merges what they read with what peers
//! pass on, and puts the result in force.

mod cluster_state;
mod follow;
mod roster;

pub(crate) use self::{
    cluster_state::ClusterState,
    follow::{follow_config, follow_daemons, follow_upstreams},
};
