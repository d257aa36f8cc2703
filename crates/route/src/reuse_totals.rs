/// Sums since the start about shared prompt parts on engines that can fetch them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReuseTotals {
    /// Prompts sent with an engine to fetch from.
    pub fetches: u64,
    /// Tokens that they were expected to fetch.
    pub fetched_tokens: f64,
    /// Prompts whose time to first token showed whether the engine read the shared parts.
    pub judged: u64,
    /// Number of them that were expected not to read the parts.
    pub expected_hits: f64,
    /// Number of them that read the parts.
    pub misses: u64,
}
