//! Upstreams.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{EngineCapacity, Honours, UpstreamLifecycle, limits};

/// Back end to which requests are routed: a model engine or an instance of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub name: String,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Models that the engine serves, sorted; empty for a plain service.
    #[serde(default)]
    pub models: Vec<String>,
    /// Name of the plain service; empty for an engine.
    #[serde(default)]
    pub service: String,
    /// Number of requests that it runs concurrently before it queues them or slows down.
    pub slots: u32,
    /// Optional request features that it supports.
    #[serde(default)]
    pub honours: Honours,
    /// Whether it accepts new requests.
    #[serde(default)]
    pub state: UpstreamLifecycle,
    /// Capacity of an engine, used to place long prompts. Without it, only slots are counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineCapacity>,
    /// Unix time of the start of the process, if it is reported. Another value means that the
    /// upstream has restarted and lost its caches and running requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
    /// Whether the platform may take it back at short notice, with all others of its kind in the
    /// availability zone.
    #[serde(default, skip_serializing_if = "is_false")]
    pub reclaimable: bool,
}

impl Upstream {
    /// Checks an upstream that a platform listed: that requests can be sent to its address, that its
    /// name can be sent as a header, and that its numbers and texts are within the limits of a
    /// configuration.
    ///
    /// # Errors
    ///
    /// Returns what makes it unusable.
    pub fn check(&self) -> Result<(), String> {
        let slots = u64::from(self.slots);
        if !limits::SLOTS.contains(&slots) {
            return Err(format!("{slots} slots"));
        }
        let ip = self.address.ip();
        let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
            return Err(format!("requests can't be sent to {}", self.address));
        }
        let is_text = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
        if !self.name.bytes().all(is_text) || self.name.trim() != self.name {
            return Err("its name can't be sent as a header".to_owned());
        }
        for text in [&self.name, &self.service, &self.zone] {
            if !limits::PLATFORM_NAME_LENGTH.contains(&(text.len() as u64)) {
                return Err(format!("a name of {} bytes", text.len()));
            }
        }
        Ok(())
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// Model engine with the OpenAI-compatible interface.
    Model,
    /// Plain HTTP service.
    Service,
}
