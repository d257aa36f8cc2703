//! Sample configuration and host settings for tests and the demo.

use std::net::SocketAddr;

use settings::{
    Account, Class, Config, Honours, Host, PeerKey, RequestMatcher, Service, Upstream,
    UpstreamKind, UpstreamLifecycle, hash_api_key,
};

/// API key of the sample client account.
pub const SAMPLE_KEY: &str = "sample-key";

/// Model that the sample engines serve.
pub const SAMPLE_MODEL: &str = "faucet-vision";

/// Returns a configuration with engines, and upstreams of the service `inventory`, at these
/// addresses.
#[must_use]
pub fn sample_config(version: u64, engines: &[SocketAddr], services: &[SocketAddr]) -> Config {
    let mut config = Config {
        version,
        classes: vec![
            service_class("urgent", 0, 790),
            service_class("counter", 1, 2_000),
            service_class("bulk", 2, 10_000),
        ],
        accounts: vec![Account {
            name: "member-a".to_owned(),
            key_sha256: vec![hash_api_key(SAMPLE_KEY)],
            default_class: "urgent".to_owned(),
            classes: vec!["bulk".to_owned(), "counter".to_owned()],
            requests_per_s: 10_000,
            requests_in_flight: 10_000,
            tokens_in_flight: 100_000_000,
            weight: 1,
            tier: None,
        }],
        upstreams: engines
            .iter()
            .zip(1..)
            .map(|(&address, number)| engine_upstream(number, address))
            .collect(),
        services: vec![Service {
            name: "inventory".to_owned(),
            answer_max_ms: 5_000,
            non_idempotent: vec![RequestMatcher {
                method: "POST".to_owned(),
                path_prefix: "/reservations".to_owned(),
            }],
            engine: None,
            autoscaling: None,
        }],
        ..Config::default()
    };
    config.upstreams.extend(
        services
            .iter()
            .zip(1..)
            .map(|(&address, number)| inventory_upstream(number, address)),
    );
    config.sort();
    config
}

/// Returns the settings of a host on free loopback ports.
#[must_use]
pub fn sample_host(name: &str, store: SocketAddr) -> Host {
    let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Host {
        name: name.to_owned(),
        region: "costa".to_owned(),
        zone: "costa-norte".to_owned(),
        listen: free_port,
        admin_listen: free_port,
        peer_listen: free_port,
        store,
        peer_keys: vec![PeerKey {
            id: 1,
            secret_hex: "00112233445566778899aabbccddeeff".to_owned(),
        }],
        metrics_listen: None,
        zones: Vec::new(),
        leaving_max_ms: None,
        config_max_ms: None,
        drain_min_ms: 0,
        stop_grace_s: None,
        workers: 2,
        body_max_bytes: 1 << 20,
        receive_max_ms: 5_000,
        memory_max_mb: None,
        descriptors_max: None,
        descriptors_reserved: 64,
        caller_min_bytes_per_s: 1_024,
        caller_window_ms: 10_000,
        store_poll_ms: 50,
        drain_max_ms: 60_000,
        cross_region_bytes_per_s: 312_500,
        duties: None,
    }
}

fn service_class(name: &str, tier: u8, first_token_ms: u64) -> Class {
    Class {
        name: name.to_owned(),
        tier,
        first_token_ms,
        token_gap_ms: 33,
        max_wait_ms: 60_000,
        reserved_percent: if tier == 2 { 10 } else { 0 },
    }
}

fn engine_upstream(number: usize, address: SocketAddr) -> Upstream {
    Upstream {
        name: format!("engine-{number}"),
        kind: UpstreamKind::Model,
        models: vec![SAMPLE_MODEL.to_owned()],
        honours: Honours {
            priority: true,
            resume: true,
            fencing: false,
        },
        service: String::new(),
        ..inventory_upstream(number, address)
    }
}

fn inventory_upstream(number: usize, address: SocketAddr) -> Upstream {
    Upstream {
        name: format!("inventory-{number}"),
        kind: UpstreamKind::Service,
        address,
        region: "costa".to_owned(),
        zone: "costa-norte".to_owned(),
        models: Vec::new(),
        service: "inventory".to_owned(),
        slots: 16,
        honours: Honours::default(),
        state: UpstreamLifecycle::Live,
        engine: None,
        started_ms: None,
        reclaimable: false,
    }
}
