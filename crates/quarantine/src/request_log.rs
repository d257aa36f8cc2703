//! Evidence against whole requests: at which crashes the very same request was lost.

use crate::LossReport;

/// Largest number of requests that are kept; beyond it the one with the fewest losses is forgotten,
/// and of those the one that was lost longest ago.
const REQUESTS_MAX: usize = 1_024;

/// Largest number of losses that are kept for one request.
const LOSSES_MAX: usize = 8;

/// Largest number of losses that are reported for a snapshot.
const REPORTS_MAX: usize = 16;

/// Time for which a loss is kept as evidence.
const LOSS_AGE_MAX_US: u64 = 600_000_000;

/// Crashes within this time count once if the request ran at several upstreams at the same time.
const SAME_MOMENT_US: u64 = 300_000;

/// Crashes one after the other from which a request is held responsible.
pub(crate) const EVIDENCE_MIN: usize = 3;

/// Loss of a request at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestLoss {
    pub(crate) upstream: u64,
    pub(crate) sent_us: u64,
    pub(crate) lost_us: u64,
}

/// Request with its losses.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LostRequest {
    request: u64,
    losses: Vec<RequestLoss>,
}

impl LostRequest {
    fn last_us(&self) -> u64 {
        let times_us = self.losses.iter().map(|loss| loss.lost_us);
        times_us.max().unwrap_or(0)
    }
}

/// Requests that were lost with their upstreams, by the fingerprint of the whole request.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestLog {
    /// Sorted by request.
    requests: Vec<LostRequest>,
}

impl RequestLog {
    /// Records a loss; returns whether it is new. An upstream that loses a request once more may be
    /// faulty itself, so only its first loss counts.
    pub(crate) fn record(&mut self, request: u64, loss: RequestLoss) -> bool {
        let index = match self.index(request) {
            Ok(index) => index,
            Err(_) => self.insert(request),
        };
        let losses = &mut self.requests[index].losses;
        if losses.iter().any(|known| known.upstream == loss.upstream) {
            return false;
        }
        losses.push(loss);
        if losses.len() > LOSSES_MAX {
            let least = (0..losses.len()).max_by_key(|&index| {
                let others = losses
                    .iter()
                    .enumerate()
                    .filter(|&(other, _)| other != index);
                let others: Vec<RequestLoss> = others.map(|(_, loss)| *loss).collect();
                (evidence_of(&others), index)
            });
            losses.remove(least.unwrap_or(0));
        }
        true
    }

    /// Returns the number of crashes that speak against a request.
    ///
    pub(crate) fn evidence(&self, request: u64) -> usize {
        evidence_of(self.losses(request))
    }

    /// Returns the losses of a request.
    pub(crate) fn losses(&self, request: u64) -> &[RequestLoss] {
        let index = self.index(request);
        index.map_or(&[], |index| &self.requests[index].losses)
    }

    /// Returns reports of the last losses of the requests with most evidence.
    pub(crate) fn reports(&self, now_us: u64) -> impl Iterator<Item = LossReport> {
        let mut requests: Vec<&LostRequest> = self.requests.iter().collect();
        requests.sort_by_key(|entry| std::cmp::Reverse((entry.losses.len(), entry.last_us())));
        let losses = requests.into_iter().flat_map(move |entry| {
            entry.losses.iter().map(move |loss| {
                let ms = |us: u64| u32::try_from(us / 1_000).unwrap_or(u32::MAX);
                LossReport {
                    upstream: loss.upstream,
                    age_ms: ms(now_us.saturating_sub(loss.lost_us)),
                    parts: Vec::new(),
                    own: 0,
                    request: entry.request,
                    ran_ms: ms(loss.lost_us.saturating_sub(loss.sent_us)),
                }
            })
        });
        losses.take(REPORTS_MAX)
    }

    /// Forgets a request: it was answered, or an operator released it.
    pub(crate) fn forget(&mut self, request: u64) {
        if let Ok(index) = self.index(request) {
            self.requests.remove(index);
        }
    }

    /// Forgets losses that are too old.
    pub(crate) fn expire(&mut self, now_us: u64) {
        self.requests.retain_mut(|entry| {
            entry
                .losses
                .retain(|loss| now_us.saturating_sub(loss.lost_us) < LOSS_AGE_MAX_US);
            !entry.losses.is_empty()
        });
    }

    fn insert(&mut self, request: u64) -> usize {
        if self.requests.len() >= REQUESTS_MAX {
            let oldest = (0..self.requests.len())
                .min_by_key(|&index| {
                    let entry = &self.requests[index];
                    (entry.losses.len(), entry.last_us())
                })
                .unwrap_or(0);
            self.requests.remove(oldest);
        }
        let index = self.index(request).unwrap_or_else(|index| index);
        let losses = Vec::new();
        self.requests.insert(index, LostRequest { request, losses });
        index
    }

    fn index(&self, request: u64) -> Result<usize, usize> {
        self.requests
            .binary_search_by_key(&request, |entry| entry.request)
    }
}

/// Returns the number of crashes that losses of one request speak of.
///
/// A request that is sent to another upstream after it was lost at one can't have been lost at both
/// for one common cause, so the largest number of losses that don't overlap counts. The greedy choice
/// by the earliest end is optimal: Kleinberg and Tardos, "Algorithm Design", section 4.1. Where
/// repeats run side by side, crashes at different moments count as well.
fn evidence_of(losses: &[RequestLoss]) -> usize {
    let mut losses = losses.to_vec();
    losses.sort_unstable_by_key(|loss| loss.lost_us);
    let in_turn = count_where(&losses, |loss, last_us| loss.sent_us >= last_us);
    let moments = count_where(&losses, |loss, last_us| {
        loss.lost_us >= last_us + SAME_MOMENT_US
    });
    in_turn.max(moments)
}

/// Counts losses, sorted by their end, each of which follows the one counted before.
fn count_where<F>(losses: &[RequestLoss], follows: F) -> usize
where
    F: Fn(&RequestLoss, u64) -> bool,
{
    let mut last_us = None;
    let counted = losses.iter().filter(|loss| {
        let counts = last_us.is_none_or(|last_us| follows(loss, last_us));
        if counts {
            last_us = Some(loss.lost_us);
        }
        counts
    });
    counted.count()
}
