use std::sync::Arc;

/// Model or plain service that a job needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// An engine that serves this model.
    Model(Arc<str>),
    /// An upstream of this plain service.
    Service(Arc<str>),
}
