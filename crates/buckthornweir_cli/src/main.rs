//! The operators' client `buckthornweir`.

fn main() {}
