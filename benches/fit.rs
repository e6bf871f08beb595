//! Fits a line to points that another bench printed.
//!
//! `cargo bench --bench fit -- 10:31 100:176 500:212` takes each point as size and value.

mod slopes;

use slopes::{Point, arguments, print_slope};

fn main() {
    let points: Vec<Point> = arguments().iter().filter_map(|text| read(text)).collect();
    if points.len() < 3 {
        println!("three points or more are needed, each as SIZE:VALUE");
        return;
    }
    print_slope("fit", "size", "value", &points);
}

fn read(text: &str) -> Option<Point> {
    let (size, value) = text.split_once(':')?;
    Some(Point {
        size: size.parse().ok()?,
        value: value.parse().ok()?,
    })
}
