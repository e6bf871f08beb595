//! Fits a line to points that another benchmark printed.
//!
//! `cargo bench --bench fit -- 10:31 100:176 500:212` fits the points `SIZE:VALUE`.

mod slopes;

use slopes::{Point, arguments, print_fit};

fn main() {
    let points: Vec<Point> = arguments()
        .iter()
        .filter_map(|text| parse_point(text))
        .collect();
    if points.len() < 3 {
        println!("at least three points are needed, each as SIZE:VALUE");
        return;
    }
    print_fit("fit", "size", "value", &points);
}

fn parse_point(text: &str) -> Option<Point> {
    let (size, value) = text.split_once(':')?;
    Some(Point {
        size: size.parse().ok()?,
        value: value.parse().ok()?,
    })
}
