/// Share of the old sums that remains after one observation; the memory is about 500 observations.
const KEEP: f64 = 0.998;

/// Largest factor by which one observation may differ from the prediction, so that a straggler
/// moves the line little.
const CLIP: f64 = 4.0;

/// Line fitted to recent observations by weighted least squares.
#[derive(Debug, Clone)]
pub struct Fit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Fit {
    /// Creates a fit that starts from the line through two points of weight one.
    pub const fn new(first: (f64, f64), second: (f64, f64)) -> Self {
        Self {
            weight: 2.0,
            x: first.0 + second.0,
            y: first.1 + second.1,
            xx: first.0 * first.0 + second.0 * second.0,
            xy: first.0 * first.1 + second.0 * second.1,
        }
    }

    /// Takes in an observation.
    pub fn observe(&mut self, x: f64, y: f64) {
        let expected = self.predict(x);
        let y = y.clamp(expected / CLIP, expected * CLIP);
        self.weight = self.weight * KEEP + 1.0;
        self.x = self.x * KEEP + x;
        self.y = self.y * KEEP + y;
        self.xx = self.xx * KEEP + x * x;
        self.xy = self.xy * KEEP + x * y;
    }

    /// Returns the slope, never negative.
    pub fn slope(&self) -> f64 {
        let mean_x = self.x / self.weight;
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * self.y / self.weight;
        if variance > 1e-6 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns the value expected at `x`, at least 1.
    pub fn predict(&self, x: f64) -> f64 {
        let slope = self.slope();
        ((self.y - slope * self.x) / self.weight + slope * x).max(1.0)
    }
}
