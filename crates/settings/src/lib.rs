//! Host settings and fleet configuration, as JSON with comments.
//!
//! [`Host`] is what one host reads from its file at the start: its name, place, addresses and
//! bounds. [`Config`] is what the whole fleet shares: classes of service, client accounts,
//! upstreams and plain services. A configuration is never read from a host's file; it is made by
//! release notes and kept in the platform's table service.
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
mod class;
mod config;
mod document;
mod field;
mod honours;
mod host;
mod limits;
mod peer_key;
mod problem;
mod rules;
mod service;
mod shape;
pub mod shapes;
mod state;
mod suggest;
#[cfg(test)]
mod tests;
mod upstream;

pub use self::{
    account::Account,
    api_key::hash_api_key,
    class::Class,
    config::Config,
    document::Document,
    field::Field,
    honours::Honours,
    host::Host,
    peer_key::PeerKey,
    problem::Problem,
    rules::check_config_value,
    service::{Rule, Service},
    shape::Shape,
    state::State,
    upstream::{Kind, Upstream},
};
