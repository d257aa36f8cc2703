use std::time::Duration;

/// What an upstream says of itself in a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Whether it is leaving: it wants no further requests.
    pub leaving: bool,
    /// Time for which it wants no requests of this daemon.
    pub pause: Option<Duration>,
    /// Value of a pause that is invalid, for the log.
    pub invalid_pause: Option<String>,
}

impl UpstreamNotice {
    /// Creates a notice with a pause from its text, in seconds with or without a fraction.
    #[must_use]
    pub fn with_pause(mut self, text: &str) -> Self {
        let seconds = text.trim().parse::<f64>().ok();
        // A value that is infinite or too large for a duration means "very long".
        let longest = |seconds: f64| (seconds > 0.0).then_some(Duration::MAX);
        let valid = seconds.filter(|&seconds| seconds >= 0.0);
        self.pause = valid.and_then(|seconds| {
            Duration::try_from_secs_f64(seconds)
                .ok()
                .or(longest(seconds))
        });
        self.invalid_pause = self.pause.is_none().then(|| text.to_owned());
        self
    }
}
