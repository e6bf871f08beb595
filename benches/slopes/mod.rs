//! Timing helpers, and tables of measured points with a least-squares line.

#![allow(dead_code, reason = "each benchmark uses some of the helpers")]

use std::time::Instant;

/// A value measured at one size.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Point {
    pub(crate) size: f64,
    pub(crate) value: f64,
}

impl Point {
    pub(crate) fn new(size: usize, value: f64) -> Self {
        let size = size as f64;
        Self { size, value }
    }
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
}

impl Line {
    /// Fits a line to points with at least two distinct sizes.
    pub(crate) fn fit(points: &[Point]) -> Self {
        let count = points.len() as f64;
        let mean = |part: fn(&Point) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (size, value) = (mean(|point| point.size), mean(|point| point.value));
        let product = |point: &Point| (point.size - size) * (point.value - value);
        let square = |point: &Point| (point.size - size).powi(2);
        let slope =
            points.iter().map(product).sum::<f64>() / points.iter().map(square).sum::<f64>();
        let intercept = value - slope * size;
        Self { intercept, slope }
    }

    /// Returns the value of the line at a size.
    pub(crate) fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Prints the points, the fitted line and the residual of each point.
pub(crate) fn print_fit(title: &str, sizes: &str, unit: &str, points: &[Point]) {
    let line = Line::fit(points);
    println!("{title}");
    println!("  {sizes:>12} {unit:>16} {:>16} {:>16}", "line", "residual");
    let mut largest = 0.0_f64;
    for point in points {
        let fitted = line.at(point.size);
        let residual = point.value - fitted;
        largest = largest.max(residual.abs());
        println!(
            "  {:>12} {:>16.3} {fitted:>16.3} {residual:>16.3}",
            point.size, point.value
        );
    }
    println!(
        "  {unit} = {:.6} + {:.6} x {sizes}, largest residual {largest:.3}\n",
        line.intercept, line.slope
    );
}

/// Returns the median time of one call in nanoseconds, over `rounds` batches of `calls` calls.
pub(crate) fn median_nanos(rounds: usize, calls: usize, mut call: impl FnMut()) -> f64 {
    call();
    let mut times: Vec<f64> = (0..rounds)
        .map(|_| {
            let start = Instant::now();
            (0..calls).for_each(|_| call());
            start.elapsed().as_nanos() as f64 / calls as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|text| text.parse().ok()).unwrap_or(f64::NAN) * PAGE_BYTES
}

/// Returns the command-line arguments without the `--bench` that cargo adds.
pub(crate) fn arguments() -> Vec<String> {
    let given = std::env::args().skip(1);
    given.filter(|text| text != "--bench").collect()
}
