//! Conditions of a simulated run.

/// Conditions of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) daemons: usize,
    pub(super) upstreams: usize,
    pub(super) requests_per_s: f64,
    /// Share of the requests that have a deadly part, for each of them.
    pub(super) deadly_share: f64,
    /// Whether the same request, repeated, is deadly as a whole instead of a part of many.
    pub(super) deadly_whole: bool,
    /// Number of different deadly parts, two at most.
    pub(super) deadly_parts: u64,
    /// Position of the deadly part among the shared parts.
    pub(super) deadly_position: usize,
    /// Number of times that a sixth of the upstreams crashes by itself.
    pub(super) ordinary_crashes: u64,
    /// Share of the answers that are lost on the way although their upstream lives.
    pub(super) lost_answers: f64,
    /// Share of the messages between daemons that are lost.
    pub(super) lost_messages: f64,
    /// Number of different subjects of sound requests.
    pub(super) subjects: u64,
    /// Share of the sound requests that have the same subject.
    pub(super) hot_share: f64,
    /// Longest time after which an answer begins.
    pub(super) begins_max_ms: u64,
    /// Largest number of attempts of a request.
    pub(super) attempts: u32,
    /// Time at which all daemons are killed.
    pub(super) killed_us: Option<u64>,
}

impl Plan {
    pub(super) const fn small(seed: u64) -> Self {
        Self {
            seed,
            daemons: 6,
            upstreams: 9,
            requests_per_s: 30.0,
            deadly_share: 0.05,
            deadly_whole: false,
            deadly_parts: 1,
            deadly_position: 2,
            ordinary_crashes: 0,
            lost_answers: 0.0,
            lost_messages: 0.03,
            subjects: 80,
            hot_share: 0.0,
            begins_max_ms: 700,
            attempts: 1,
            killed_us: None,
        }
    }

    pub(super) const fn large(seed: u64) -> Self {
        Self {
            daemons: 300,
            upstreams: 300,
            requests_per_s: 1_500.0,
            subjects: 2_000,
            ..Self::small(seed)
        }
    }
}
