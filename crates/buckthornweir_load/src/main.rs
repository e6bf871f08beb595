//! The load and measuring tool `buckthornweir-load`.

fn main() {}
