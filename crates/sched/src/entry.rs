use std::sync::Arc;

use code::{Code, Run};
use queue::{Item, ItemKind, OutputLengths};

use crate::{Job, JobId, running::Running};

/// Tokens after which an answer counts as long; the expected length of an unknown answer.
pub(crate) const LONG_TOKENS: u32 = 256;

/// Prompt tokens that cost as much as one output token; engines read far faster than they write.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 16;

/// Lowest engine priority inside a tier.
const LEVEL_MAX: u32 = 9;

/// Queued or running job.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) job: Job,
    pub(crate) item: Item,
    pub(crate) running: Option<Running>,
    pub(crate) attempt: u32,
    /// Failed attempts that may have run.
    pub(crate) failures: u32,
    /// Attempts that were rejected.
    pub(crate) rejections: u32,
    /// Attempts of which nothing was sent.
    pub(crate) unsent: u32,
    /// Tokens that the caller has.
    pub(crate) tokens: u32,
    /// Expected length of the whole answer.
    pub(crate) expected_tokens: u32,
    /// Whether most answers of its class and model are long.
    pub(crate) expected_long: bool,
    /// Whether an attempt so far ran, for the code of a later refusal.
    pub(crate) run: Run,
    /// Upstream of the last failed attempt.
    pub(crate) avoid: Option<Arc<str>>,
    /// Tokens from which the job may give way to short work again.
    pub(crate) demote_tokens: u32,
    /// Tokens counted against the client account.
    pub(crate) limit_tokens: u64,
    /// Time that the caller allows for the queue.
    pub(crate) wait_us: u64,
}

impl Entry {
    pub(crate) fn new(
        now_us: u64,
        job: Job,
        lane: usize,
        arrival: u64,
        lengths: &OutputLengths,
    ) -> Self {
        let expected = lengths.expected(&job.class, lane, job.max_tokens);
        let typical = lengths.median(&job.class, lane, job.max_tokens);
        let item = Item {
            id: job.id.0,
            lane,
            tier: job.tier.min(2),
            account: job.account.clone(),
            kind: ItemKind::Fresh,
            arrival,
            deadline_us: job.deadline_us,
            cost: 0,
            bounded: true,
        };
        let mut entry = Self {
            item,
            running: None,
            attempt: 0,
            failures: 0,
            rejections: 0,
            unsent: 0,
            tokens: 0,
            expected_tokens: expected,
            expected_long: typical > LONG_TOKENS,
            run: Run::No,
            avoid: None,
            demote_tokens: LONG_TOKENS,
            limit_tokens: u64::from(job.prompt_tokens) + u64::from(expected),
            wait_us: job.deadline_us.saturating_sub(now_us),
            job,
        };
        entry.refresh_item();
        entry
    }

    /// Brings the item up to date before it is queued.
    pub(crate) fn refresh_item(&mut self) {
        let remaining = self.expected_tokens.saturating_sub(self.tokens);
        self.item.cost = self.cost_of(remaining);
        self.item.bounded = self.run == Run::No;
        self.item.kind = if self.is_long() {
            ItemKind::Long
        } else if self.tokens > 0 {
            ItemKind::Resume
        } else {
            ItemKind::Fresh
        };
    }

    pub(crate) const fn id(&self) -> JobId {
        self.job.id
    }

    pub(crate) fn tier(&self) -> usize {
        usize::from(self.item.tier)
    }

    pub(crate) const fn is_long(&self) -> bool {
        self.tokens >= LONG_TOKENS || self.expected_long
    }

    /// Returns the service of an attempt that generates so many tokens.
    pub(crate) fn cost_of(&self, tokens: u32) -> u64 {
        u64::from(tokens) + u64::from(self.job.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN) + 1
    }

    /// Returns 0 before the first token, then one more for each doubling of the tokens.
    pub(crate) const fn level(&self) -> u32 {
        u32::BITS - self.tokens.leading_zeros()
    }

    /// Returns the priority for the engine: by tier, then by tokens received.
    pub(crate) fn priority(&self) -> i32 {
        let doublings = (self.tokens / LONG_TOKENS).checked_ilog2();
        let level = doublings.map_or(0, |doublings| (doublings + 1).min(LEVEL_MAX));
        i32::from(self.item.tier) * 10 + i32::try_from(level).unwrap_or(0)
    }

    /// Returns a code that agrees with what earlier attempts may have run.
    pub(crate) fn accurate(&self, code: Code) -> Code {
        match (self.run, code.run()) {
            (Run::No, _) | (Run::Unknown, Run::Unknown | Run::Yes) | (Run::Yes, Run::Yes) => code,
            (Run::Unknown, Run::No) if code == Code::DeadlinePassed => Code::UpstreamTimeout,
            (Run::Unknown, Run::No) => Code::UpstreamLost,
            (Run::Yes, Run::No | Run::Unknown) => Code::StreamBroken,
        }
    }

    /// Returns when the job arrived.
    pub(crate) const fn arrived_us(&self) -> u64 {
        self.job.deadline_us.saturating_sub(self.wait_us)
    }

    /// Notes that an attempt was cut off after its request was sent.
    pub(crate) fn note_run(&mut self) {
        if self.tokens > 0 {
            self.run = Run::Yes;
        } else if self.run == Run::No {
            self.run = Run::Unknown;
        }
    }
}
