use std::sync::Arc;

/// Time within which lost requests count as lost at the same moment.
const MOMENT_US: u64 = 250_000;

/// Requests lost at the same moment from which on the upstream, not a request, is at fault.
const TOGETHER_MIN: u32 = 2;

/// Loss of one or more requests at an upstream.
#[derive(Debug, Clone)]
struct Loss {
    upstream: Arc<str>,
    first_us: u64,
    count: u32,
}

/// Requests that were lost after they were sent, within the last moment.
#[derive(Debug, Clone, Default)]
pub struct RecentLosses {
    /// Oldest first.
    losses: Vec<Loss>,
}

impl RecentLosses {
    /// Records that a request was lost; returns whether several were lost at the same moment.
    pub fn record(&mut self, now_us: u64, upstream: &Arc<str>) -> bool {
        self.losses
            .retain(|loss| now_us < loss.first_us.saturating_add(MOMENT_US));
        let known = self.losses.iter_mut();
        if let Some(loss) = known.into_iter().find(|loss| loss.upstream == *upstream) {
            loss.count += 1;
            return loss.count >= TOGETHER_MIN;
        }
        self.losses.push(Loss {
            upstream: upstream.clone(),
            first_us: now_us,
            count: 1,
        });
        false
    }
}
