//! Configuration, upstreams and daemons as listed in the platform's store.
//!
//! The tasks in [`follow`] poll the store, and the one in [`follow_peer`] follows another daemon
//! instead where there is one. [`ClusterState`] merges what they read, puts the result in force and
//! tells it to the daemons that follow this one.

mod cluster_state;
mod departed;
mod follow;
mod follow_peer;
mod roster;
mod update;
mod upstream_table;

#[cfg(test)]
pub(crate) use self::cluster_state::Read;
pub(crate) use self::{
    cluster_state::{ClusterState, Source},
    follow::{follow_config, follow_daemons, follow_upstreams},
    follow_peer::follow_peer,
    update::{Subscription, Update},
};
