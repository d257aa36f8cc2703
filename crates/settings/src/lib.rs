//! Host settings and fleet configuration, as JSON with comments.
//!
//! [`Host`] holds the settings of one host, which it reads from a file at start: its name, region,
//! availability zone, addresses and limits. [`Config`] is the configuration shared by the whole
//! fleet: classes of service, client accounts, upstreams, plain services and routes. It is never
//! read from a host's file; release notes change it and the platform's table service stores it.
//!
//! Documents are checked against a [`Schema`] and against rules that span several fields. All
//! errors are reported at once, each as a [`Problem`] with its line.
//!
//! ```
//! let host = settings::Host::parse(
//!     r#"{
//!         // Small entry host.
//!         "name": "entry-1", "region": "costa", "zone": "costa-norte",
//!         "listen": "127.0.0.1:8080", "admin_listen": "127.0.0.1:8081",
//!         "peer_listen": "127.0.0.1:8082", "store": "127.0.0.1:9000",
//!         "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}],
//!     }"#,
//! )
//! .unwrap();
//! assert_eq!(host.zone, "costa-norte");
//! ```

mod account;
mod api_key;
mod autoscaling;
mod caller_limits;
mod class;
mod config;
mod document;
mod duties;
mod engine_capacity;
mod field;
mod honours;
mod host;
mod limits;
mod peer_key;
mod problem;
mod request_kind;
mod route;
mod rules;
mod schema;
pub mod schemas;
mod service;
mod share;
mod suggest;
#[cfg(test)]
mod tests;
mod upstream;
mod upstream_lifecycle;
mod zone_region;

pub use self::{
    account::Account,
    api_key::hash_api_key,
    autoscaling::{Autoscaling, ZonePrice},
    caller_limits::CallerLimits,
    class::Class,
    config::Config,
    document::Document,
    duties::{Duties, DutyKind, UsageWindows},
    engine_capacity::EngineCapacity,
    field::Field,
    honours::Honours,
    host::Host,
    peer_key::PeerKey,
    problem::Problem,
    request_kind::RequestKind,
    route::Route,
    rules::check_config_value,
    schema::Schema,
    service::{RequestMatcher, Service},
    share::Share,
    upstream::{Upstream, UpstreamKind},
    upstream_lifecycle::UpstreamLifecycle,
    zone_region::ZoneRegion,
};
