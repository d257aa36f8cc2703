/// Largest change of the wall clock that is adopted at once.
const STEP_US: i64 = 500_000;

/// Time for which a larger change must last before it is adopted: clocks that jump often jump back.
const SETTLE_US: u64 = 60_000_000;

/// Wall clock from which steps are removed.
///
/// It runs by a steady clock, with the offset of the wall clock at the first reading. Small changes
/// of the offset are adopted at once, larger ones only after they have lasted for a minute.
#[derive(Debug, Clone, Copy, Default)]
pub struct WallClock {
    /// Wall clock less steady clock.
    offset_us: Option<i64>,
    /// Offset after a step, with the steady time at which it was first seen.
    stepped: Option<(i64, u64)>,
}

impl WallClock {
    /// Returns the Unix time for readings of the steady clock and of the wall clock.
    pub fn unix_us(&mut self, steady_us: u64, wall_us: u64) -> u64 {
        let read = signed(wall_us) - signed(steady_us);
        let offset_us = *self.offset_us.get_or_insert(read);
        let is_near = |offset: i64| (read - offset).abs() < STEP_US;
        let adopted = if is_near(offset_us) {
            self.stepped = None;
            read
        } else {
            match self.stepped {
                Some((stepped, since_us)) if is_near(stepped) => {
                    if steady_us.saturating_sub(since_us) >= SETTLE_US {
                        self.stepped = None;
                        read
                    } else {
                        offset_us
                    }
                }
                _ => {
                    self.stepped = Some((read, steady_us));
                    offset_us
                }
            }
        };
        self.offset_us = Some(adopted);
        u64::try_from(signed(steady_us) + adopted).unwrap_or(0)
    }
}

fn signed(us: u64) -> i64 {
    i64::try_from(us).unwrap_or(i64::MAX)
}
