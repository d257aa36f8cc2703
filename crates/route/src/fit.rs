/// Decay factor of the sums for each observation; about the last 500 observations count.
const DECAY: f64 = 0.998;

/// Factor to which an observation is clipped around the prediction, which limits the effect of a
/// straggler on the line.
const CLIP_FACTOR: f64 = 4.0;

/// Line fitted to recent observations by exponentially weighted least squares, kept as decayed sums
/// of the weights, coordinates and products.
#[derive(Debug, Clone)]
pub struct Fit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Fit {
    /// Creates a fit from two initial points of weight 1.
    pub const fn new(first: (f64, f64), second: (f64, f64)) -> Self {
        Self {
            weight: 2.0,
            x: first.0 + second.0,
            y: first.1 + second.1,
            xx: first.0 * first.0 + second.0 * second.0,
            xy: first.0 * first.1 + second.0 * second.1,
        }
    }

    /// Adds an observation.
    pub fn observe(&mut self, x: f64, y: f64) {
        let expected = self.predict(x);
        let y = y.clamp(expected / CLIP_FACTOR, expected * CLIP_FACTOR);
        self.weight = self.weight * DECAY + 1.0;
        self.x = self.x * DECAY + x;
        self.y = self.y * DECAY + y;
        self.xx = self.xx * DECAY + x * x;
        self.xy = self.xy * DECAY + x * y;
    }

    /// Returns the slope, at least 0.
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
        self.predict_with_slope(x, self.slope())
    }

    /// Returns the value expected at `x` on a line through the mean observation with another slope,
    /// at least 1.
    pub fn predict_with_slope(&self, x: f64, slope: f64) -> f64 {
        ((self.y - slope * self.x) / self.weight + slope * x).max(1.0)
    }
}
