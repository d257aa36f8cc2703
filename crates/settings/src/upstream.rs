use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{EngineCapacity, Honours, UpstreamLifecycle};

/// Back end to which requests are routed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub name: String,
    /// Model engine or plain service.
    pub kind: UpstreamKind,
    /// Address.
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
    /// Requests that run at once before the upstream queues or slows down.
    pub slots: u32,
    /// What the upstream honours.
    #[serde(default)]
    pub honours: Honours,
    /// Whether the upstream takes new work.
    #[serde(default)]
    pub state: UpstreamLifecycle,
    /// Sizes of an engine, by which long prompts are placed; without them only slots count.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineCapacity>,
    /// Unix time of its start, if it tells; another one means that it has forgotten everything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
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
