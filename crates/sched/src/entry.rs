//! State of one job from its arrival to its end.

use std::sync::Arc;

use code::{Code, Run};
use queue::{Item, ItemKind, OutputLengths};

use crate::{Job, JobId, running::Running};

/// Output tokens from which an answer counts as long.
///
/// Equal to the length that [`OutputLengths`] assumes without observations, so that an answer of
/// unknown length isn't expected to be long.
pub(crate) const LONG_TOKENS: u32 = 256;

/// Prompt tokens that cost as much as one output token; prefill is far faster than decoding.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u32 = 16;

/// Largest offset, and so the least urgent engine priority, inside a tier.
const PRIORITY_LEVEL_MAX: u32 = 9;

/// State of a queued or running job.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) job: Job,
    /// Item in the queue while the job waits.
    pub(crate) item: Item,
    /// Current attempt; `None` while the job waits.
    pub(crate) running: Option<Running>,
    /// Number of the last attempt; 0 before the first one.
    pub(crate) attempt: u32,
    /// Failed attempts that may have run.
    pub(crate) failures: u32,
    /// Attempts that were rejected.
    pub(crate) rejections: u32,
    /// Attempts of which nothing was sent.
    pub(crate) unsent: u32,
    /// Output tokens of all attempts, which the caller has received.
    pub(crate) tokens: u32,
    /// Expected length of the whole answer.
    pub(crate) expected_tokens: u32,
    /// Whether at least half of the answers of its service class and model are long.
    pub(crate) expected_long: bool,
    /// Whether any attempt so far ran or may have run; the code of a refusal has to agree.
    pub(crate) run: Run,
    /// Upstream of the last failed attempt, which a retry avoids.
    pub(crate) avoid: Option<Arc<str>>,
    /// Output tokens from which the job may be preempted for a short job of its tier; each such
    /// preemption sets it to twice the tokens so far.
    pub(crate) preemptable_from_tokens: u32,
    /// Tokens counted against the limit of the client account.
    pub(crate) limit_tokens: u64,
    /// Longest wait in the queue that the caller allows.
    pub(crate) max_wait_us: u64,
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
            preemptable_from_tokens: LONG_TOKENS,
            limit_tokens: u64::from(job.prompt_tokens) + u64::from(expected),
            max_wait_us: job.deadline_us.saturating_sub(now_us),
            job,
        };
        entry.refresh_item();
        entry
    }

    /// Updates the item's cost, kind and whether it is bounded, before it is queued.
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

    /// Returns whether the answer is already long or expected to be long.
    pub(crate) const fn is_long(&self) -> bool {
        self.tokens >= LONG_TOKENS || self.expected_long
    }

    /// Returns the service of an attempt that generates `tokens`, in output tokens.
    pub(crate) fn cost_of(&self, tokens: u32) -> u64 {
        u64::from(tokens) + u64::from(self.job.prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN) + 1
    }

    /// Returns 0 before the first output token, then one more for each doubling of the tokens.
    pub(crate) const fn progress_level(&self) -> u32 {
        u32::BITS - self.tokens.leading_zeros()
    }

    /// Returns the priority for the engine: by tier, then by output tokens, fewest first.
    pub(crate) fn priority(&self) -> i32 {
        let doublings = (self.tokens / LONG_TOKENS).checked_ilog2();
        let level = doublings.map_or(0, |doublings| (doublings + 1).min(PRIORITY_LEVEL_MAX));
        i32::from(self.item.tier) * 10 + i32::try_from(level).unwrap_or(0)
    }

    /// Replaces a code that contradicts what earlier attempts ran or may have run.
    pub(crate) fn consistent_code(&self, code: Code) -> Code {
        match (self.run, code.run()) {
            (Run::No, _) | (Run::Unknown, Run::Unknown | Run::Yes) | (Run::Yes, Run::Yes) => code,
            (Run::Unknown, Run::No) if code == Code::DeadlinePassed => Code::UpstreamTimeout,
            (Run::Unknown, Run::No) if code == Code::Draining => Code::CutByStop,
            (Run::Unknown, Run::No) => Code::UpstreamLost,
            (Run::Yes, Run::No | Run::Unknown) => Code::StreamBroken,
        }
    }

    /// Returns when the job arrived.
    pub(crate) const fn arrived_us(&self) -> u64 {
        self.job.deadline_us.saturating_sub(self.max_wait_us)
    }

    /// Records that an attempt was cut off after its request was sent, so that it may have run.
    pub(crate) fn record_possible_run(&mut self) {
        if self.tokens > 0 {
            self.run = Run::Yes;
        } else if self.run == Run::No {
            self.run = Run::Unknown;
        }
    }
}
