use sched::Outcome;

/// What the attempts of a call have led to so far.
pub(super) struct Progress<R> {
    /// Whether one of them may have been run.
    pub(super) maybe_executed: bool,
    /// Error response of an upstream, returned if no later attempt succeeds.
    pub(super) error_response: Option<R>,
    /// Whether one before the current attempt may have been run.
    earlier_executed: bool,
}

impl<R> Progress<R> {
    /// Records that an attempt starts; it may be run from now on.
    pub(super) const fn record_start(&mut self) {
        self.earlier_executed = self.maybe_executed;
        self.maybe_executed = true;
    }

    /// Records that the attempt failed. One that wasn't run doesn't undo an earlier one.
    pub(super) fn record_failure(&mut self, outcome: Outcome) {
        self.maybe_executed = self.earlier_executed || outcome == Outcome::LostBeforeAnswer;
    }
}

impl<R> Default for Progress<R> {
    fn default() -> Self {
        Self {
            maybe_executed: false,
            error_response: None,
            earlier_executed: false,
        }
    }
}
