//! Ways in which an engine gets the shared parts of a prompt: it still keeps them, it fetches them
//! from an engine that does, or it reads them anew.
//!
//! [`Source`] is an engine that probably keeps the parts, [`Holding`] what a candidate keeps itself.
//! [`Holding::supply`] compares the ways by the time until the candidate has the parts.

/// Time in which an engine asks another for cached parts, besides the round trip.
const FETCH_SETUP_US: f64 = 8_000.0;

/// Engine that probably keeps the shared parts of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Source {
    /// Index of the engine.
    pub engine: usize,
    /// Tokens of the leading shared parts that it keeps.
    pub tokens: f64,
    /// Chance that it still keeps them.
    pub kept_chance: f64,
    /// Time until its known transfers are complete.
    pub busy_us: f64,
}

/// What an engine keeps of the shared parts of a prompt, and how fast it gets the rest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holding {
    /// Shared tokens.
    pub shared_tokens: f64,
    /// Leading shared tokens that it is known to keep.
    pub kept_tokens: f64,
    /// Chance that it keeps the rest nonetheless.
    pub kept_chance: f64,
    /// Whether that chance rests on what was sent to it.
    pub is_known: bool,
    /// Time in which it reads a token.
    pub read_token_us: f64,
    /// Time in which it fetches a token.
    pub fetch_token_us: f64,
}

/// Expected way in which an engine gets the shared parts of a prompt.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Supply {
    /// Shared tokens that it is expected to read.
    pub read_tokens: f64,
    /// Shared tokens that it is expected to fetch.
    pub fetched_tokens: f64,
    /// Expected time for the fetch, before it reads anything.
    pub fetch_us: f64,
    /// Engine from which it fetches.
    pub source: Option<usize>,
    /// Whether the engine is known to keep the parts.
    pub is_known: bool,
}

impl Holding {
    /// Returns the way without a fetch.
    #[must_use]
    pub fn read(&self) -> Supply {
        Supply {
            read_tokens: (1.0 - self.kept_chance) * self.missing_tokens(),
            is_known: self.is_known,
            ..Supply::default()
        }
    }

    /// Returns the fastest way, given the other engines that may keep the parts and the round trip
    /// to each.
    ///
    /// A source that has lost the parts costs the request the set-up and the wait for the source's
    /// link; the parts are read then.
    #[must_use]
    pub fn supply<S>(&self, sources: S) -> Supply
    where
        S: IntoIterator<Item = (Source, f64)>,
    {
        let missing_chance = 1.0 - self.kept_chance;
        let mut best = self.read();
        let mut best_us = best.read_tokens * self.read_token_us;
        for (source, round_trip_us) in sources {
            let gain_tokens = (source.tokens - self.kept_tokens).min(self.missing_tokens());
            if gain_tokens <= 0.0 {
                continue;
            }
            let fetched_tokens = missing_chance * source.kept_chance * gain_tokens;
            let wait_us = FETCH_SETUP_US + round_trip_us + source.busy_us;
            let fetch_us = missing_chance * wait_us + fetched_tokens * self.fetch_token_us;
            let read_tokens = missing_chance * self.missing_tokens() - fetched_tokens;
            let time_us = read_tokens * self.read_token_us + fetch_us;
            if time_us < best_us {
                best_us = time_us;
                best = Supply {
                    read_tokens,
                    fetched_tokens,
                    fetch_us,
                    source: Some(source.engine),
                    is_known: self.is_known,
                };
            }
        }
        best
    }

    fn missing_tokens(&self) -> f64 {
        (self.shared_tokens - self.kept_tokens).max(0.0)
    }
}

#[cfg(test)]
#[path = "reuse_tests.rs"]
mod tests;
