//! What a daemon tells those that follow it, and its compact encoding.

use std::net::SocketAddr;

use eyre::{Result, eyre};
use serde::{Deserialize, Serialize};
use settings::{Config, Honours, Route, Upstream, UpstreamKind, UpstreamLifecycle};
use store::StoreVersion;

use crate::adapter::{UpstreamRead, UpstreamRow};

/// Request to be told what another daemon knows from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Subscription {
    /// Version of the configuration in force at the follower, 0 if there is none.
    pub(crate) config_version: u64,
    /// Version of the store up to which the follower knows the upstreams.
    pub(crate) upstreams_version: Option<StoreVersion>,
    /// Whether to answer once instead of telling all later changes.
    pub(crate) once: bool,
}

/// What a follower lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Update {
    /// Whether the sender can't reach the store, directly or through others.
    pub(crate) is_failing: bool,
    /// Whether an outage of the store has ended since the previous update. Rows of live upstreams
    /// may have expired in it.
    pub(crate) after_outage: bool,
    /// Configuration without upstreams, if the follower has an older one.
    pub(crate) config: Option<Config>,
    /// Version of the store up to which the configuration is known.
    pub(crate) config_store_version: Option<StoreVersion>,
    /// Changes of the upstreams.
    pub(crate) upstreams: Option<UpstreamRead>,
}

/// Encoded [`Update`].
#[derive(Serialize, Deserialize)]
struct EncodedUpdate {
    is_failing: bool,
    after_outage: bool,
    config: Option<EncodedConfig>,
    config_store_version: Option<StoreVersion>,
    upstreams: Option<EncodedRead>,
}

/// Configuration whose routes, which can be thousands, are in a compact form.
#[derive(Serialize, Deserialize)]
struct EncodedConfig {
    /// JSON of the configuration without its routes.
    rest: String,
    routes: Vec<Route>,
}

#[derive(Serialize, Deserialize)]
struct EncodedRead {
    store_version: StoreVersion,
    is_whole: bool,
    /// Zones, services and models, each once.
    texts: Vec<String>,
    rows: Vec<EncodedRow>,
}

#[derive(Serialize, Deserialize)]
struct EncodedRow {
    name: String,
    /// Number of the version, whose era is that of the read.
    store_version: u64,
    upstream: Option<EncodedUpstream>,
}

/// Upstream whose texts are indexes. The region and the capacity of an engine are left out: each
/// daemon knows them from its settings and the configuration.
#[derive(Serialize, Deserialize)]
struct EncodedUpstream {
    kind: UpstreamKind,
    address: SocketAddr,
    zone: u32,
    service: u32,
    models: Vec<u32>,
    slots: u32,
    honours: Honours,
    state: UpstreamLifecycle,
    started_ms: Option<u64>,
    reclaimable: bool,
}

impl Update {
    /// Encodes the update.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<u8>> {
        let encoded = EncodedUpdate {
            is_failing: self.is_failing,
            after_outage: self.after_outage,
            config: self.config.clone().map(EncodedConfig::new).transpose()?,
            config_store_version: self.config_store_version,
            upstreams: self.upstreams.as_ref().map(EncodedRead::new),
        };
        Ok(postcard::to_stdvec(&encoded)?)
    }

    /// Decodes an update.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no update.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self> {
        let encoded: EncodedUpdate = postcard::from_bytes(bytes)?;
        let config = encoded.config.map(EncodedConfig::decode);
        Ok(Self {
            is_failing: encoded.is_failing,
            after_outage: encoded.after_outage,
            config: config.transpose()?,
            config_store_version: encoded.config_store_version,
            upstreams: encoded.upstreams.map(EncodedRead::decode).transpose()?,
        })
    }
}

impl EncodedConfig {
    fn new(mut config: Config) -> Result<Self> {
        let routes = std::mem::take(&mut config.routes);
        Ok(Self {
            rest: serde_json::to_string(&config)?,
            routes,
        })
    }

    fn decode(self) -> Result<Config> {
        let mut config: Config = serde_json::from_str(&self.rest)?;
        config.routes = self.routes;
        Ok(config)
    }
}

impl EncodedRead {
    fn new(read: &UpstreamRead) -> Self {
        let mut texts = Vec::new();
        for upstream in read.rows.iter().filter_map(|row| row.upstream.as_ref()) {
            for text in upstream
                .models
                .iter()
                .chain([&upstream.zone, &upstream.service])
            {
                if let Err(index) = texts.binary_search(text) {
                    texts.insert(index, text.clone());
                }
            }
        }
        let rows = read.rows.iter().map(|row| EncodedRow {
            name: row.name.clone(),
            store_version: row.store_version.number,
            upstream: row
                .upstream
                .as_ref()
                .map(|upstream| EncodedUpstream::new(upstream, &texts)),
        });
        let rows = rows.collect();
        Self {
            store_version: read.store_version,
            is_whole: read.is_whole,
            texts,
            rows,
        }
    }

    fn decode(self) -> Result<UpstreamRead> {
        let texts = self.texts;
        let era = self.store_version.era;
        let rows = self.rows.into_iter().map(|row| {
            let name = row.name;
            let upstream = row.upstream;
            let upstream = upstream.map(|upstream| upstream.decode(&name, &texts));
            Ok(UpstreamRow {
                upstream: upstream.transpose()?,
                name,
                store_version: StoreVersion::new(era, row.store_version),
            })
        });
        Ok(UpstreamRead {
            store_version: self.store_version,
            is_whole: self.is_whole,
            rows: rows.collect::<Result<_>>()?,
        })
    }
}

impl EncodedUpstream {
    fn new(upstream: &Upstream, texts: &[String]) -> Self {
        let index = |text: &String| {
            let index = texts.binary_search(text).unwrap_or_default();
            u32::try_from(index).unwrap_or(u32::MAX)
        };
        Self {
            kind: upstream.kind,
            address: upstream.address,
            zone: index(&upstream.zone),
            service: index(&upstream.service),
            models: upstream.models.iter().map(index).collect(),
            slots: upstream.slots,
            honours: upstream.honours,
            state: upstream.state,
            started_ms: upstream.started_ms,
            reclaimable: upstream.reclaimable,
        }
    }

    fn decode(self, name: &str, texts: &[String]) -> Result<Upstream> {
        let text = |index: u32| {
            let text = texts.get(usize::try_from(index)?);
            text.cloned().ok_or_else(|| eyre!("no text {index}"))
        };
        Ok(Upstream {
            name: name.to_owned(),
            kind: self.kind,
            address: self.address,
            region: String::new(),
            zone: text(self.zone)?,
            models: self.models.into_iter().map(text).collect::<Result<_>>()?,
            service: text(self.service)?,
            slots: self.slots,
            honours: self.honours,
            state: self.state,
            engine: None,
            started_ms: self.started_ms,
            reclaimable: self.reclaimable,
        })
    }
}

#[cfg(test)]
#[path = "update_tests.rs"]
mod tests;
