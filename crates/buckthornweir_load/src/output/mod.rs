//! What a run shows: tables on the terminal, JSON lines, and a report with plots.

mod lines;
mod page;
mod plot;
mod table;

pub use lines::write_lines;
pub use page::page;
pub use plot::{Line, Plot, draw};
pub use table::tables;
