use std::sync::Arc;

/// Largest number of parts of one prompt that are tracked; further ones are ignored.
const PARTS_MAX: usize = 256;

/// Identifiers of the parts of a request's prompt, and the fingerprint of the whole request.
///
/// The last part belongs to the request or its session alone. It tells requests apart, and is never
/// held responsible for a crash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// Parts that other requests may share, in order.
    shared: Arc<[u64]>,
    /// Part of the request alone.
    own: u64,
    /// Fingerprint of the whole request; 0 if it has none.
    request: u64,
}

impl PromptParts {
    /// Creates the parts of a prompt from their identifiers in order.
    #[must_use]
    pub fn new<I>(ids: I) -> Self
    where
        I: IntoIterator<Item = u64>,
    {
        let mut ids: Vec<u64> = ids.into_iter().collect();
        let own = ids.pop().unwrap_or_default();
        ids.truncate(PARTS_MAX);
        Self {
            shared: ids.into(),
            own,
            request: 0,
        }
    }

    /// Sets the fingerprint of the whole request, which is the same for each repeat of it.
    #[must_use]
    pub const fn with_request(mut self, fingerprint: u64) -> Self {
        self.request = fingerprint;
        self
    }

    /// Returns the parts that other requests may share, in order.
    #[must_use]
    pub fn shared(&self) -> &[u64] {
        &self.shared
    }

    /// Returns the part of the request alone.
    #[must_use]
    pub const fn own(&self) -> u64 {
        self.own
    }

    /// Returns the fingerprint of the whole request, if it has one.
    #[must_use]
    pub const fn request(&self) -> Option<u64> {
        match self.request {
            0 => None,
            request => Some(request),
        }
    }
}
