//! Output of the figures: terminal tables, JSON lines and an HTML report with plots.

mod lines;
mod page;
mod plot;
mod table;

pub use lines::write_lines;
pub use page::page;
pub use plot::{Line, Plot, draw};
pub use table::tables;
