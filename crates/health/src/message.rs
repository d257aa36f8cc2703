use serde::{Deserialize, Serialize};

use crate::Complaint;

/// Complaints of one daemon for another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Upstreams that the sender has lately tried or heard from; relates its complaints to them.
    pub contacts: u16,
    /// Its complaints, [`Self::COMPLAINTS_MAX`] at most.
    pub complaints: Vec<Complaint>,
}

impl Message {
    /// Largest number of complaints in one message; it then fits into a datagram.
    pub const COMPLAINTS_MAX: usize = 24;
}
