/// What the head of an answer says about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The upstream ran it; the answer is the caller's.
    Run,
    /// The upstream did not run it.
    NotRun,
    /// The address belongs to another upstream by now, which did not run it.
    OtherUpstream,
    /// The answer belongs to another request.
    OtherRequest,
}
