use code::{Code, Run};
use sched::Outcome;

/// What the attempts of one job prove about whether it ran.
///
/// This is the only place that decides between "not run", "run" and "unknown". It only ever grows:
/// a later attempt that was not sent does not undo an earlier one that may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exposure {
    /// No byte reached an upstream that could act on it.
    #[default]
    NotRun,
    /// Bytes were sent and no answer came.
    Unknown,
    /// An upstream answered.
    Run,
}

impl Exposure {
    /// Adds the end of an attempt.
    pub(crate) fn add(&mut self, outcome: Outcome) {
        let seen = match outcome {
            Outcome::NotSent | Outcome::Rejected => Self::NotRun,
            Outcome::LostBeforeAnswer => Self::Unknown,
            Outcome::Complete | Outcome::LostMidStream { .. } | Outcome::Failed => Self::Run,
        };
        *self = (*self).max(seen);
    }

    /// Adds an attempt that this daemon cancelled.
    pub(crate) fn add_cancelled(&mut self, answered: bool) {
        let seen = if answered { Self::Run } else { Self::Unknown };
        *self = (*self).max(seen);
    }

    /// Replaces a code that claims less than the attempts prove.
    pub(crate) const fn truthful(self, code: Code) -> Code {
        match (code.run(), self) {
            (Run::No, Self::Unknown) => Code::UpstreamLost,
            (Run::No | Run::Unknown, Self::Run) => Code::StreamBroken,
            _ => code,
        }
    }
}
