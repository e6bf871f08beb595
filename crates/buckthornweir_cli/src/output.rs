//! Output as text tables or JSON.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

/// Number of spaces between two columns.
const COLUMN_GAP: u16 = 2;

/// The output format of a command.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    /// Whether results are printed as JSON instead of text.
    pub(crate) json: bool,
}

impl Output {
    /// Prints one result: `text`, or `value` as JSON.
    pub(crate) fn print<T: Serialize>(self, value: &T, text: impl FnOnce() -> String) {
        if !self.json {
            println!("{}", text().trim_end());
            return;
        }
        match serde_json::to_string_pretty(value) {
            Ok(json) => println!("{json}"),
            Err(error) => eprintln!("buckthornweir: {error}"),
        }
    }
}

/// Formats a table without borders.
pub(crate) fn table<R: IntoIterator<Item = String>>(
    header: &[&str],
    rows: impl IntoIterator<Item = R>,
) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(header.iter().map(|h| h.to_uppercase()));
    for row in rows {
        table.add_row(row);
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, COLUMN_GAP));
    }
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}
