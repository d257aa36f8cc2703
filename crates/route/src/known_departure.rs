//! Departures of upstreams as this daemon learnt of them, kept for its log and metrics only.

use std::sync::Arc;

/// Time for which a departure is kept; requests that were chosen before it have ended by then.
const KEPT_US: u64 = 600_000_000;

/// How a daemon learnt that an upstream is leaving or gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSource {
    /// The list of upstreams has it as leaving.
    Listed,
    /// The list of upstreams no longer has it.
    Gone,
    /// It said so itself in an answer, to this daemon or to another one.
    Answer,
    /// The platform's list of hosts has it as leaving.
    HostList,
}

impl DepartureSource {
    /// Returns the name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Gone => "gone",
            Self::Answer => "answer",
            Self::HostList => "host_list",
        }
    }
}

/// Departure of an instance of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownDeparture {
    /// Time at which this daemon first knew of it.
    pub since_us: u64,
    /// How it learnt of it first.
    pub source: DepartureSource,
}

#[derive(Debug, Clone)]
struct Entry {
    name: Arc<str>,
    /// Start of the instance, in Unix milliseconds.
    started_ms: Option<u64>,
    departure: KnownDeparture,
}

/// Departures that no later list ends while the same instance is meant. Unlike
/// [`Departures`](crate::departures::Departures), they decide nothing, so that they show a decision
/// that has forgotten one.
#[derive(Debug, Clone, Default)]
pub struct KnownDepartures {
    /// Sorted by name.
    entries: Vec<Entry>,
}

impl KnownDepartures {
    /// Records a departure, unless one of the same instance is known.
    pub fn insert(
        &mut self,
        now_us: u64,
        name: &Arc<str>,
        started_ms: Option<u64>,
        source: DepartureSource,
    ) {
        let departure = KnownDeparture {
            since_us: now_us,
            source,
        };
        match self.find(name) {
            Ok(index) if self.entries[index].started_ms == started_ms => {
                let known = &mut self.entries[index].departure;
                // One that is gone may only have expired; the other sources are final.
                if known.source == DepartureSource::Gone {
                    known.source = source;
                }
            }
            Ok(index) => {
                self.entries[index].started_ms = started_ms;
                self.entries[index].departure = departure;
            }
            Err(index) => {
                let entry = Entry {
                    name: name.clone(),
                    started_ms,
                    departure,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Records that an instance is listed as live: its row had only expired if it was gone. Nor does
    /// anything tell apart two instances without a start time.
    pub fn record_live(&mut self, name: &str, started_ms: Option<u64>) {
        if let Ok(index) = self.find(name) {
            let entry = &self.entries[index];
            if entry.departure.source == DepartureSource::Gone
                || entry.started_ms != started_ms
                || started_ms.is_none()
            {
                self.entries.remove(index);
            }
        }
    }

    /// Returns the departure of an instance, if it is known.
    pub fn get(&self, name: &str, started_ms: Option<u64>) -> Option<KnownDeparture> {
        let entry = &self.entries[self.find(name).ok()?];
        (entry.started_ms == started_ms).then_some(entry.departure)
    }

    /// Forgets departures that were known for long.
    pub fn expire(&mut self, now_us: u64) {
        self.entries
            .retain(|entry| now_us < entry.departure.since_us.saturating_add(KEPT_US));
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.name.as_ref().cmp(name))
    }
}
