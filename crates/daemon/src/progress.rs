//! Progress of one response against the latency targets of its class.

use std::sync::Arc;

use metric::Attainment;
use settings::Class;

/// Tokens that the caller of one request has received so far, with the targets of its class.
#[derive(Debug)]
pub(crate) struct Progress {
    class: Arc<str>,
    first_token_target_us: u64,
    token_gap_target_us: u64,
    received_us: u64,
    first_token_us: Option<u64>,
    last_token_us: u64,
    tokens: u32,
}

impl Progress {
    /// Creates the progress of a request that was received at `received_us`.
    pub(crate) fn new(class: &Class, received_us: u64) -> Self {
        Self {
            class: class.name.as_str().into(),
            first_token_target_us: class.first_token_ms * 1_000,
            token_gap_target_us: class.token_gap_ms * 1_000,
            received_us,
            first_token_us: None,
            last_token_us: received_us,
            tokens: 0,
        }
    }

    /// Returns the name of the service class.
    pub(crate) fn class(&self) -> &str {
        &self.class
    }

    /// Returns the number of tokens so far.
    pub(crate) const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Records a token and returns the time to the first token if this is the first one.
    pub(crate) fn record_token(&mut self, now_us: u64) -> Option<u64> {
        self.tokens += 1;
        self.last_token_us = now_us;
        if self.first_token_us.is_some() {
            return None;
        }
        self.first_token_us = Some(now_us);
        Some(now_us.saturating_sub(self.received_us))
    }

    /// Returns the mean gap between tokens, if there were at least two.
    pub(crate) fn mean_gap_us(&self) -> Option<u64> {
        let first_us = self.first_token_us?;
        let gaps = u64::from(self.tokens)
            .checked_sub(1)
            .filter(|&gaps| gaps > 0)?;
        Some(self.last_token_us.saturating_sub(first_us) / gaps)
    }

    /// Returns whether a complete response met its targets.
    pub(crate) fn attainment_if_complete(&self) -> Attainment {
        let first_us = self.first_token_us.unwrap_or(self.last_token_us);
        let first_token_met =
            first_us.saturating_sub(self.received_us) <= self.first_token_target_us;
        let token_gap_met = self
            .mean_gap_us()
            .is_none_or(|gap_us| gap_us <= self.token_gap_target_us);
        if first_token_met && token_gap_met {
            Attainment::Met
        } else {
            Attainment::Missed
        }
    }

    /// Returns whether a request whose caller disconnected met its targets. Without a first token
    /// it counts as missed if the target has already passed, and isn't counted otherwise.
    pub(crate) fn attainment_if_caller_left(&self, now_us: u64) -> Attainment {
        match self.first_token_us {
            Some(_) => self.attainment_if_complete(),
            None if now_us.saturating_sub(self.received_us) > self.first_token_target_us => {
                Attainment::Missed
            }
            None => Attainment::NotJudged,
        }
    }
}
