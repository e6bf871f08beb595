//! The daemon `buckthornweird`.

fn main() {}
