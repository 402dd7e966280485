//! A straight line through measured points.

/// One measured point: what was varied, and what it cost.
pub type Point = (f64, f64);

/// A fitted line.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Cost at zero.
    pub base: f64,
    /// Cost of one more.
    pub slope: f64,
    /// Greatest distance of a point from the line, in percent of the greatest cost.
    pub residual_percent: f64,
}

impl Line {
    /// The line with the least squared distances.
    pub fn through(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let common: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = common / spread;
        let base = mean_y - slope * mean_x;
        let greatest = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let distance = |p: &Point| (p.1 - base - slope * p.0).abs();
        let farthest = points.iter().map(distance).fold(0.0, f64::max);
        Self { base, slope, residual_percent: 100.0 * farthest / greatest }
    }

    /// The cost that the line foretells.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
