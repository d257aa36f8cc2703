/// What an upstream's response says about the execution of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The upstream executed the request; the response is forwarded to the caller.
    Run,
    /// The upstream did not execute the request.
    NotRun,
    /// The response says that a request was not executed, but not which one.
    UnidentifiedRejection,
    /// The address now belongs to another upstream, which did not execute the request.
    OtherUpstream,
    /// The response belongs to another request.
    OtherRequest,
}
