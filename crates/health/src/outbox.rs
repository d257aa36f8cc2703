use crate::{Complaint, Message, Symptom, reporter::is_cut_off};

/// This daemon's observation of an upstream.
#[derive(Debug, Clone, Copy)]
struct Observation {
    upstream: u64,
    started_ms: u64,
    symptom: Symptom,
    observed_us: u64,
    silent_us: u64,
    told: bool,
}

/// This daemon's own observations, which it tells the others.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// Sorted by upstream.
    observations: Vec<Observation>,
}

impl Outbox {
    /// Records that an upstream couldn't be reached, after a silence of `silent_us`.
    pub fn record(
        &mut self,
        now_us: u64,
        upstream: u64,
        started_ms: Option<u64>,
        symptom: Symptom,
        silent_us: u64,
    ) {
        let observation = Observation {
            upstream,
            started_ms: started_ms.unwrap_or(0),
            symptom,
            observed_us: now_us,
            silent_us,
            told: false,
        };
        let found = self
            .observations
            .binary_search_by_key(&upstream, |known| known.upstream);
        match found {
            Ok(index) => self.observations[index] = observation,
            Err(index) => self.observations.insert(index, observation),
        }
    }

    /// Withdraws the observation of an upstream that has answered.
    pub fn record_answer(&mut self, upstream: u64) {
        let found = self
            .observations
            .binary_search_by_key(&upstream, |known| known.upstream);
        if let Ok(index) = found {
            self.observations.remove(index);
        }
    }

    /// Returns whether there is any observation, told or not.
    #[must_use]
    pub const fn has_observations(&self) -> bool {
        !self.observations.is_empty()
    }

    /// Returns whether there is anything to tell.
    #[must_use]
    pub fn has_news(&self) -> bool {
        self.observations.iter().any(|known| !known.told)
    }

    /// Returns the message for the other daemons, if there is anything to tell.
    ///
    /// `contacts` is the number of upstreams that this daemon has lately tried or heard from. If it
    /// fails to reach many of them, it is likely cut off itself, and tells nothing.
    pub fn take_message(&mut self, now_us: u64, contacts: u16) -> Option<Message> {
        self.observations.retain(|known| {
            now_us
                < known
                    .observed_us
                    .saturating_add(known.symptom.lifetime_us())
        });
        if is_cut_off(self.observations.len(), contacts) {
            self.observations
                .iter_mut()
                .for_each(|known| known.told = true);
            return None;
        }
        let untold = self.observations.iter_mut().filter(|known| !known.told);
        let complaints = untold.take(Message::COMPLAINTS_MAX).map(|known| {
            known.told = true;
            Complaint {
                upstream: known.upstream,
                started_ms: known.started_ms,
                symptom: known.symptom,
                age_ms: millis(now_us.saturating_sub(known.observed_us)),
                silent_ms: millis(known.silent_us),
            }
        });
        let complaints: Vec<Complaint> = complaints.collect();
        (!complaints.is_empty()).then_some(Message {
            contacts,
            complaints,
        })
    }
}

fn millis(time_us: u64) -> u16 {
    u16::try_from(time_us.div_ceil(1_000)).unwrap_or(u16::MAX)
}
