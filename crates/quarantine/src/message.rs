//! Messages between daemons.

use serde::{Deserialize, Serialize};

use crate::Verdict;

/// Request that was lost with its upstream before its answer began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// Time since the loss, in milliseconds.
    pub age_ms: u32,
    /// Shared parts of its prompt, in order, [`Self::PARTS_MAX`] at most.
    pub parts: Vec<u64>,
    /// Part of the request alone.
    pub own: u64,
    /// Fingerprint of the whole request; 0 for none, or if the reporter has seen an answer to it.
    pub request: u64,
    /// Time from its send to the loss, in milliseconds.
    pub ran_ms: u32,
}

impl LossReport {
    /// Largest number of parts in a report; with it, [`Message::LOSSES_MAX`] reports fit into a
    /// datagram.
    pub const PARTS_MAX: usize = 15;
}

/// Message between the quarantines of two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Lost requests, for the daemons that gather evidence.
    Losses(Vec<LossReport>),
    /// What is known of some parts.
    Verdicts(Vec<Verdict>),
    /// Digest of all verdicts of the sender; a receiver that knows others tells them.
    Digest {
        /// Digest of the sender's verdicts; equal sets have equal digests.
        digest: u64,
        /// Whether the receiver shall send its digest if it differs.
        reply: bool,
    },
}

impl Message {
    /// Largest number of losses in one message; it then fits into a datagram.
    pub const LOSSES_MAX: usize = 4;

    /// Largest number of verdicts in one message; it then fits into a datagram.
    pub const VERDICTS_MAX: usize = 24;
}
