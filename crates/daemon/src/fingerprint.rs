//! Fingerprint of a request as upstreams see it, the same for each repeat of it.

use settings::Host;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Key of the fingerprints of one fleet, which callers don't know, so that they can't compute requests
/// whose fingerprints collide. While keys are rotated, hosts with different first keys don't recognize
/// each other's requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FingerprintKey(u64);

/// What an upstream sees of a request, without what differs from one repeat to the next.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestIdentity<'a> {
    pub(crate) account: &'a str,
    pub(crate) method: &'a str,
    pub(crate) authority: &'a str,
    pub(crate) path_and_query: &'a str,
    /// Identifiers of the parts of its prompt, which depend on the model.
    pub(crate) prompt_parts: &'a [u64],
    pub(crate) body: &'a [u8],
}

impl FingerprintKey {
    /// Derives the key from the secret with which the daemons of a fleet authenticate each other.
    pub(crate) fn new(host: &Host) -> Self {
        let secret = host.peer_keys.first().map(|key| key.secret_hex.as_str());
        Self(xxh3_64(secret.unwrap_or_default().as_bytes()))
    }

    /// Returns the fingerprint of a request; it is never 0.
    pub(crate) fn fingerprint(self, request: &RequestIdentity<'_>) -> u64 {
        let mut hasher = Xxh3::with_seed(self.0);
        let texts = [
            request.account,
            request.method,
            request.authority,
            request.path_and_query,
        ];
        for text in texts {
            hasher.update(&text.len().to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&request.prompt_parts.len().to_le_bytes());
        for part in request.prompt_parts {
            hasher.update(&part.to_le_bytes());
        }
        hasher.update(request.body);
        hasher.digest().max(1)
    }
}
