/// Load that a batching engine publishes in the Prometheus text form.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineMetrics {
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
    /// Used share of the key-value cache, in thousandths.
    pub cache_used_permille: u32,
}

impl EngineMetrics {
    /// Reads the metrics page of an engine; series of several models are added up.
    ///
    /// Returns `None` if the page has none of the names.
    ///
    /// # Examples
    ///
    /// ```
    /// let page = "# TYPE x gauge\nvllm:num_requests_running{model_name=\"m\"} 3.0\n";
    /// assert_eq!(wire::EngineMetrics::parse(page).unwrap().running, 3);
    /// assert!(wire::EngineMetrics::parse("up 1\n").is_none());
    /// ```
    #[must_use]
    pub fn parse(page: &str) -> Option<Self> {
        let mut load = Self::default();
        let mut found = false;
        for line in page.lines().filter(|line| !line.starts_with('#')) {
            let Some((series, value)) = line.rsplit_once(' ') else {
                continue;
            };
            let Ok(value) = value.parse::<f64>() else {
                continue;
            };
            let name = series.split('{').next().unwrap_or_default();
            match name {
                "vllm:num_requests_running" => load.running += to_u32(value),
                "vllm:num_requests_waiting" => load.waiting += to_u32(value),
                "vllm:kv_cache_usage_perc" => {
                    load.cache_used_permille =
                        load.cache_used_permille.max(to_u32(value * 1_000.0));
                }
                _ => continue,
            }
            found = true;
        }
        found.then_some(load)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range before the cast"
)]
fn to_u32(value: f64) -> u32 {
    value.clamp(0.0, 1e9) as u32
}
