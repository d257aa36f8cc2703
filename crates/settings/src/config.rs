use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{
    Account, CallerLimits, Class, Document, Problem, Route, Service, Upstream, UpstreamKind,
    api_key::hex, rules, schemas,
};

/// One version of the fleet configuration. Look-ups by name need sorted lists; see
/// [`sort`](Self::sort).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version; 0 before the first release.
    pub version: u64,
    /// Classes of service.
    pub classes: Vec<Class>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Routes, sorted by host name and path prefix.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Limits for callers of routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

impl Config {
    /// Parses and checks a configuration, and sorts its lists.
    ///
    /// # Errors
    ///
    /// Returns every error with its line.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let mut config: Self =
            Document::parse(text)?.read(&schemas::CONFIG, rules::check_config)?;
        config.sort();
        Ok(config)
    }

    /// Checks the configuration and returns every error, without lines.
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        match serde_json::to_value(self) {
            Ok(value) => rules::check_config_value(&value),
            Err(error) => vec![Problem::new(0, "", &error.to_string())],
        }
    }

    /// Returns the SHA-256 of the content as hexadecimal digits. It does not depend on the order of
    /// the items in the lists.
    #[must_use]
    pub fn digest(&self) -> String {
        let mut sorted = self.clone();
        sorted.sort();
        // Serializing plain data with string keys to memory can't fail.
        hex(&Sha256::digest(
            serde_json::to_vec(&sorted).unwrap_or_default(),
        ))
    }

    /// Sorts every list by name, and the routes by host name and path prefix, as the look-ups by
    /// binary search need it.
    pub fn sort(&mut self) {
        self.classes.sort_by(|a, b| a.name.cmp(&b.name));
        self.accounts.sort_by(|a, b| a.name.cmp(&b.name));
        self.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.routes
            .sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    }

    /// Returns the class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        let index = self
            .classes
            .binary_search_by(|class| class.name.as_str().cmp(name));
        index.ok().map(|index| &self.classes[index])
    }

    /// Returns the client account with this name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        let index = self
            .accounts
            .binary_search_by(|account| account.name.as_str().cmp(name));
        index.ok().map(|index| &self.accounts[index])
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        let index = self
            .upstreams
            .binary_search_by(|upstream| upstream.name.as_str().cmp(name));
        index.ok().map(|index| &self.upstreams[index])
    }

    /// Returns the plain service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        index.ok().map(|index| &self.services[index])
    }

    /// Returns the route of a host name whose path prefix is the longest that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        let mut prefixes = ends.map(|end| &path[..end]);
        prefixes.find_map(|prefix| {
            let found = self.routes.binary_search_by(|route| {
                (route.host.as_str(), route.path_prefix.as_str()).cmp(&(host, prefix))
            });
            found.ok().map(|index| &self.routes[index])
        })
    }

    /// Returns the names of all models that upstreams serve, sorted and without duplicates.
    #[must_use]
    pub fn models(&self) -> Vec<&str> {
        let engines = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.kind == UpstreamKind::Model);
        let mut models: Vec<&str> = engines
            .flat_map(|upstream| upstream.models.iter().map(String::as_str))
            .collect();
        models.sort_unstable();
        models.dedup();
        models
    }
}
