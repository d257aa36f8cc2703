use std::sync::Arc;

/// Pause that an upstream asked for.
#[derive(Debug, Clone)]
struct Pause {
    name: Arc<str>,
    /// Start of the instance that asked for it, in Unix milliseconds.
    started_ms: Option<u64>,
    until_us: u64,
}

/// Pauses that upstreams asked for, kept even while no configuration lists them.
#[derive(Debug, Clone, Default)]
pub struct Pauses {
    /// Sorted by name.
    pauses: Vec<Pause>,
}

impl Pauses {
    /// Records a pause and returns its end; a shorter one doesn't end a longer one.
    pub fn insert(&mut self, name: &Arc<str>, started_ms: Option<u64>, until_us: u64) -> u64 {
        let new = Pause {
            name: name.clone(),
            started_ms,
            until_us,
        };
        match self.find(name) {
            Ok(index) => {
                let pause = &mut self.pauses[index];
                if pause.started_ms == started_ms {
                    pause.until_us = pause.until_us.max(until_us);
                } else {
                    *pause = new;
                }
                pause.until_us
            }
            Err(index) => {
                self.pauses.insert(index, new);
                until_us
            }
        }
    }

    /// Returns the end of the pause of an instance of an upstream.
    pub fn until_us(&self, name: &str, started_ms: Option<u64>) -> Option<u64> {
        let pause = &self.pauses[self.find(name).ok()?];
        (pause.started_ms == started_ms).then_some(pause.until_us)
    }

    /// Removes pauses that are over.
    pub fn expire(&mut self, now_us: u64) {
        self.pauses.retain(|pause| now_us < pause.until_us);
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.pauses
            .binary_search_by(|pause| pause.name.as_ref().cmp(name))
    }
}
