//! Request mixes of the deployments.

/// Requests of one service class in a mix.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSpec {
    /// Service class.
    pub class: &'static str,
    /// Text at the beginning of each prompt.
    pub topic: &'static str,
    /// Share of the requests, relative to the weights of the other specs.
    pub weight: f64,
    /// Range of prompt lengths.
    pub prompt_tokens: (u32, u32),
    /// Range of output lengths; short outputs are more frequent.
    pub output_tokens: (u32, u32),
    /// Probability that a caller disconnects before the response is complete.
    pub abandon_rate: f64,
    /// Target of the time to the first token.
    pub first_token_ms: u64,
    /// Target of the mean gap between tokens.
    pub token_gap_ms: u64,
}

/// Request mix of one deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Mix {
    /// Name of the deployment.
    pub name: &'static str,
    /// Requests, by service class.
    pub requests: Vec<RequestSpec>,
    /// Peak of the request rate, relative to the mean rate.
    pub peak_factor: f64,
}

impl Mix {
    /// Returns the mix of the deployment with this name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "grifo-comun" => Some(Self::grifo_comun()),
            "fliperama" => Some(Self::fliperama()),
            _ => None,
        }
    }

    /// Returns the mix of the faucet distributors: many urgent questions that arrive in bursts;
    /// most callers disconnect early.
    #[must_use]
    pub fn grifo_comun() -> Self {
        Self {
            name: "grifo-comun",
            requests: vec![
                request_spec("urgent", "dripping tap with a photo, which cartridge", 0.6)
                    .with_lengths((60, 300), (8, 60))
                    .with_abandon_rate(0.6)
                    .with_targets(790, 33),
                request_spec("counter", "compare the catalogues of two brands", 0.3)
                    .with_lengths((200, 800), (20, 120))
                    .with_abandon_rate(0.5)
                    .with_targets(2_000, 33),
                request_spec("bulk", "index a whole catalogue", 0.1)
                    .with_lengths((500, 2_000), (100, 400))
                    .with_abandon_rate(0.2)
                    .with_targets(10_000, 33),
            ],
            peak_factor: 2.0,
        }
    }

    /// Returns the mix of the pinball repair service: long prompts from manuals, and short
    /// questions about coils.
    #[must_use]
    pub fn fliperama() -> Self {
        Self {
            name: "fliperama",
            requests: vec![
                request_spec("urgent", "coil value of the left flipper", 0.5)
                    .with_lengths((30, 120), (5, 40))
                    .with_abandon_rate(0.6)
                    .with_targets(790, 33),
                request_spec("counter", "draft a diagnosis note for this board", 0.3)
                    .with_lengths((200, 900), (30, 150))
                    .with_abandon_rate(0.4)
                    .with_targets(2_000, 33),
                request_spec("bulk", "read the service manual and the board history", 0.2)
                    .with_lengths((2_000, 6_000), (150, 600))
                    .with_abandon_rate(0.4)
                    .with_targets(10_000, 33),
            ],
            peak_factor: 1.5,
        }
    }
}

impl RequestSpec {
    /// Sets the ranges of prompt and output lengths.
    #[must_use]
    pub const fn with_lengths(
        mut self,
        prompt_tokens: (u32, u32),
        output_tokens: (u32, u32),
    ) -> Self {
        self.prompt_tokens = prompt_tokens;
        self.output_tokens = output_tokens;
        self
    }

    /// Sets the probability that a caller disconnects early.
    #[must_use]
    pub const fn with_abandon_rate(mut self, abandon_rate: f64) -> Self {
        self.abandon_rate = abandon_rate;
        self
    }

    /// Sets the latency targets.
    #[must_use]
    pub const fn with_targets(mut self, first_token_ms: u64, token_gap_ms: u64) -> Self {
        self.first_token_ms = first_token_ms;
        self.token_gap_ms = token_gap_ms;
        self
    }
}

/// Creates a spec without lengths, abandonment and targets.
const fn request_spec(class: &'static str, topic: &'static str, weight: f64) -> RequestSpec {
    RequestSpec {
        class,
        topic,
        weight,
        prompt_tokens: (1, 1),
        output_tokens: (1, 1),
        abandon_rate: 0.0,
        first_token_ms: 0,
        token_gap_ms: 0,
    }
}
