//! Division of the engines between short and long prompts.

use crate::{lateness::late_chance, step_time::StepTime};

/// Recent prompts that are kept; older ones are overwritten.
const SAMPLES_MAX: usize = 256;

/// Recent prompts from which on the share is reconsidered.
const SAMPLES_MIN: usize = 48;

/// Shares of the engines that are weighed for short prompts; each change goes to the next one.
const SHARES: [f64; 8] = [
    0.0,
    1.0 / 16.0,
    1.0 / 12.0,
    1.0 / 8.0,
    1.0 / 6.0,
    1.0 / 4.0,
    1.0 / 3.0,
    1.0 / 2.0,
];

/// Index of the share until the demand is known.
const INITIAL: usize = 4;

/// Steps of the sorted prompt sizes that are weighed as the bound between short and long.
const BOUND_STEPS: usize = 8;

/// Part of the expected late requests that another share has to save before it replaces the one in
/// force: each change moves shared parts to other engines.
const CHANGE_GAIN: f64 = 0.25;

/// Share of late requests that is not worth reserving engines for.
const NEGLIGIBLE_SHARE: f64 = 0.01;

/// Largest share of an engine's time that may be needed for prompts in a prediction; beyond it the
/// wait grows without bound.
const PREFILL_SHARE_MAX: f64 = 0.95;

/// What a prompt asked for and needed.
#[derive(Debug, Clone, Copy)]
pub struct PromptSample {
    /// Tokens of the whole prompt, by which short and long are told apart.
    pub prompt_tokens: u32,
    /// Time that the engine needed for the parts that it had not cached.
    pub prefill_us: f64,
    /// Expected number of events of the answer.
    pub events: f64,
    /// Target for the gap between events; 0 if there is none.
    pub event_gap_us: f64,
    /// Time that was left until the first event was due; 0 if there is no target.
    pub first_event_us: f64,
}

/// Load of the engines of one kind, averaged over them.
#[derive(Debug, Clone, Copy)]
pub struct MeanLoad {
    /// Share of the time that an engine needs for prompts.
    pub prefill_share: f64,
    /// Streams that an engine runs.
    pub running: f64,
    /// Streams that an engine can run at once.
    pub slots: f64,
}

impl MeanLoad {
    /// Load of idle engines.
    pub const ZERO: Self = Self {
        prefill_share: 0.0,
        running: 0.0,
        slots: 0.0,
    };

    /// Divides a sum by the number of engines.
    pub fn divided_by(self, engines: f64) -> Self {
        Self {
            prefill_share: self.prefill_share / engines,
            running: self.running / engines,
            slots: self.slots / engines,
        }
    }
}

/// Decides how many engines stand apart for short prompts.
///
/// Each daemon decides by its own recent prompts and by the load of all engines; the median of all
/// daemons' decisions is put in force. For each share, the bound between short and long prompts is
/// the one with the fewest requests that are expected to be late.
#[derive(Debug, Clone)]
pub struct Partition {
    samples: Vec<PromptSample>,
    /// Index of the sample that is overwritten next.
    next: usize,
    /// Sum of the samples' prefill times.
    prefill_sum_us: f64,
    /// Index of the chosen share.
    chosen: usize,
}

impl Partition {
    /// Creates a partition without samples.
    pub const fn new() -> Self {
        Self {
            samples: Vec::new(),
            next: 0,
            prefill_sum_us: 0.0,
            chosen: INITIAL,
        }
    }

    /// Records a prompt that was sent to an engine.
    pub fn record(&mut self, sample: PromptSample) {
        self.prefill_sum_us += sample.prefill_us;
        if self.samples.len() < SAMPLES_MAX {
            self.samples.push(sample);
        } else {
            self.prefill_sum_us -= self.samples[self.next].prefill_us;
            self.samples[self.next] = sample;
        }
        self.next = (self.next + 1) % SAMPLES_MAX;
    }

    /// Returns whether any prompt was recorded.
    pub const fn has_samples(&self) -> bool {
        !self.samples.is_empty()
    }

    /// Returns the share of the engines that this daemon would reserve for short prompts.
    pub const fn share(&self) -> f64 {
        SHARES[self.chosen]
    }

    /// Returns the mean time that an engine needed for a recent prompt; `None` without any.
    pub fn mean_prefill_us(&self) -> Option<f64> {
        let count = u32::try_from(self.samples.len()).unwrap_or(u32::MAX);
        (count > 0).then(|| self.prefill_sum_us / f64::from(count))
    }

    /// Moves to the next larger or smaller share if that is expected to save enough late requests.
    pub fn update(&mut self, load: MeanLoad, steps: &StepTime) {
        if self.samples.len() < SAMPLES_MIN {
            return;
        }
        let mut sorted = self.samples.clone();
        sorted.sort_unstable_by_key(|sample| sample.prompt_tokens);
        let totals = Totals::of(&sorted);
        let late = |share: f64| {
            if share <= 0.0 {
                return totals.late(&sorted, load, steps, 1.0);
            }
            let bounds = (1..BOUND_STEPS).map(|step| {
                let (short, long) = sorted.split_at(sorted.len() * step / BOUND_STEPS);
                totals.late(short, load, steps, share) + totals.late(long, load, steps, 1.0 - share)
            });
            bounds.fold(f64::INFINITY, f64::min)
        };
        let late = SHARES.map(late);
        let best = (0..SHARES.len()).min_by(|&a, &b| late[a].total_cmp(&late[b]));
        let negligible = NEGLIGIBLE_SHARE * totals.count;
        let (in_force, best) = (late[self.chosen], best.unwrap_or(self.chosen));
        if in_force < negligible {
            if self.chosen > 0 && late[self.chosen - 1] < negligible {
                self.chosen -= 1;
            }
        } else if late[best] < in_force * (1.0 - CHANGE_GAIN) {
            // Shares beyond the next one count too, since a single step may gain little.
            self.chosen = if best > self.chosen {
                self.chosen + 1
            } else {
                self.chosen - 1
            };
        }
    }
}

/// Sums over all samples, to which the parts of a division are related.
struct Totals {
    count: f64,
    prefill_us: f64,
    events: f64,
}

impl Totals {
    fn of(samples: &[PromptSample]) -> Self {
        Self {
            count: f64::from(u32::try_from(samples.len()).unwrap_or(u32::MAX)),
            prefill_us: samples.iter().map(|sample| sample.prefill_us).sum(),
            events: samples.iter().map(|sample| sample.events).sum(),
        }
    }

    /// Returns the expected number of late requests among prompts that have a share of the engines
    /// to themselves.
    ///
    /// The wait before a first event is that of an M/G/1 queue, the Pollaczek-Khinchine formula.
    fn late(&self, prompts: &[PromptSample], load: MeanLoad, steps: &StepTime, share: f64) -> f64 {
        let prefill_us: f64 = prompts.iter().map(|prompt| prompt.prefill_us).sum();
        let squared: f64 = prompts
            .iter()
            .map(|prompt| prompt.prefill_us * prompt.prefill_us)
            .sum();
        let events: f64 = prompts.iter().map(|prompt| prompt.events).sum();
        let prefill_share = load.prefill_share * prefill_us / self.prefill_us.max(1.0) / share;
        let bounded_share = prefill_share.min(PREFILL_SHARE_MAX);
        let prompt_us = squared / prefill_us.max(1.0);
        let wait_us = bounded_share * prompt_us / (2.0 * (1.0 - bounded_share));
        let running = load.running * events / self.events.max(1.0) / share;
        let gap_us = steps.gap_us(running, prompt_us);
        let idle_gap_us = steps.gap_us(running, 0.0);
        let crowded = late_chance(running, load.slots);
        let late = |prompt: &PromptSample| {
            let met = prompt.events * bounded_share;
            let mut on_time = 1.0 - crowded;
            if prompt.event_gap_us > 0.0 {
                on_time *= 1.0 - (met * late_chance(gap_us, prompt.event_gap_us)).min(1.0);
                on_time *= 1.0 - late_chance(idle_gap_us, prompt.event_gap_us);
            }
            if prompt.first_event_us > 0.0 {
                let first_us = idle_gap_us + wait_us + prompt.prefill_us;
                on_time *= 1.0 - late_chance(first_us, prompt.first_event_us);
            }
            1.0 - on_time
        };
        prompts.iter().map(late).sum()
    }
}

#[cfg(test)]
#[path = "partition_tests.rs"]
mod tests;
