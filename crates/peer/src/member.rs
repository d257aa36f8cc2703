use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::State;

/// Length of the longest name of a host, region or availability zone.
const NAME_MAX_BYTES: usize = 64;

/// Record of a member, as daemons exchange it.
///
/// # Examples
///
/// ```
/// use peer::{Member, State};
///
/// let member = Member::new("entry-1", "10.0.0.1:7000".parse().unwrap(), 3)
///     .with_locality("costa", "costa-norte")
///     .with_config_version(12);
/// assert_eq!(member.state, State::Live);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name of the host.
    pub name: String,
    /// Region of the host; empty until a record of the member was received.
    pub region: String,
    /// Availability zone of the host; empty until a record of the member was received.
    pub zone: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// State of the member.
    pub state: State,
    /// Version of the configuration in force at the member, as last reported.
    pub config_version: u64,
    /// Number that grows with every restart and every refutation; 0 if the member is known only
    /// from the host list.
    pub incarnation: u64,
}

impl Member {
    /// Creates a live member.
    #[must_use]
    pub fn new(name: &str, address: SocketAddr, incarnation: u64) -> Self {
        Self {
            name: name.to_owned(),
            region: String::new(),
            zone: String::new(),
            address,
            state: State::Live,
            config_version: 0,
            incarnation,
        }
    }

    /// Sets region and availability zone.
    #[must_use]
    pub fn with_locality(mut self, region: &str, zone: &str) -> Self {
        region.clone_into(&mut self.region);
        zone.clone_into(&mut self.zone);
        self
    }

    /// Sets the version of the configuration in force.
    #[must_use]
    pub const fn with_config_version(mut self, version: u64) -> Self {
        self.config_version = version;
        self
    }

    /// Returns whether the names have valid lengths.
    pub(crate) fn is_valid(&self) -> bool {
        !self.name.is_empty()
            && [&self.name, &self.region, &self.zone]
                .iter()
                .all(|name| name.len() <= NAME_MAX_BYTES)
    }
}
