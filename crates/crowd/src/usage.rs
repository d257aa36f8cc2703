use std::{fs, time::Duration};

use tokio::time::{Instant, sleep};

/// Interval at which the descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Memory and descriptors of a process.
#[derive(Debug)]
pub struct Usage {
    process: u32,
    descriptors_max: usize,
}

impl Usage {
    /// Creates the usage of a process.
    #[must_use]
    pub const fn of(process: u32) -> Self {
        Self {
            process,
            descriptors_max: 0,
        }
    }

    /// Counts the descriptors again and again for this time.
    pub async fn observe(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.sample();
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Counts the descriptors.
    pub fn sample(&mut self) {
        let path = format!("/proc/{}/fd", self.process);
        let count = fs::read_dir(path).map_or(0, Iterator::count);
        self.descriptors_max = self.descriptors_max.max(count);
    }

    /// Returns the largest number of descriptors that was counted.
    #[must_use]
    pub const fn descriptors_max(&self) -> usize {
        self.descriptors_max
    }

    /// Returns the largest resident memory since the start of the process, in KiB.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    #[must_use]
    pub fn peak_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process);
        let status = fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        number.expect("the process runs")
    }
}
