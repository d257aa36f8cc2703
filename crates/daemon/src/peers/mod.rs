//! Communication with the other daemons: membership over UDP, configurations over TCP.

mod announcement;
mod exchange;
mod fetch;
mod freshness;
#[cfg(test)]
mod freshness_tests;
mod hosts;
mod serve;
mod shared_view;
mod socket;
mod updates;

pub(crate) use self::{
    announcement::Announcement, fetch::fetch_configs, hosts::follow_hosts, serve::serve_config,
    shared_view::Peers, socket::exchange_datagrams, updates::UpdateStream,
};
