use serde::{Deserialize, Serialize};

/// Bounds and prices of the upstreams that the fleet orders for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Autoscaling {
    /// Fewest upstreams in each availability zone, reclaimable ones included.
    pub upstreams_min: u32,
    /// Most upstreams in each availability zone, reclaimable ones included.
    pub upstreams_max: u32,
    /// Time from an order until the upstream serves.
    pub start_ms: u64,
    /// Price of a reclaimable upstream in thousandths of that of another one in the same zone.
    pub reclaimable_price_permille: u32,
    /// Availability zones in which upstreams can be ordered, with their prices, sorted by name.
    pub zones: Vec<ZonePrice>,
}

/// Price of an upstream in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZonePrice {
    /// Availability zone.
    pub zone: String,
    /// Price of an upstream and second in thousandths of the platform's unit.
    pub price_permille: u32,
}

impl Autoscaling {
    /// Checks the bounds, the prices and that each zone is listed once.
    ///
    /// # Errors
    ///
    /// Returns the field that is wrong and why.
    pub fn check(&self) -> Result<(), String> {
        let value = serde_json::to_value(self).map_err(|error| error.to_string())?;
        let problems = crate::rules::check_autoscaling_value(&value);
        problems.first().map_or(Ok(()), |problem| {
            Err(format!("{}: {}", problem.path, problem.message))
        })
    }
}
