//! Upstreams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{EngineCapacity, Honours, UpstreamLifecycle};

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
