//! Columns of text.

use std::fmt::Write;

/// Between two columns.
const GAP: &str = "  ";

/// Rows under a heading, each column as wide as its widest cell.
///
/// Invariant: each row has as many cells as the heading.
#[derive(Debug)]
pub(crate) struct Table<const N: usize> {
    rows: Vec<[Box<str>; N]>,
}

impl<const N: usize> Table<N> {
    /// A table with its heading.
    pub(crate) fn new(heading: [&str; N]) -> Table<N> {
        let rows = vec![heading.map(Box::from)];
        Table { rows }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: [&dyn ToString; N]) {
        let cells = cells.map(|cell| cell.to_string().into());
        self.rows.push(cells);
    }

    /// The table as text, one line a row.
    pub(crate) fn render(&self) -> Box<str> {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let line = line(row, &widths);
            // Writing to a String does not fail.
            let _ = writeln!(text, "{}", line.trim_end());
        }
        text.into()
    }

    fn widths(&self) -> [usize; N] {
        std::array::from_fn(|i| {
            let widths = self.rows.iter().map(|row| row[i].chars().count());
            widths.max().unwrap_or(0)
        })
    }
}

fn line<const N: usize>(row: &[Box<str>; N], widths: &[usize; N]) -> String {
    let cells = row.iter().zip(widths);
    let cells: Vec<_> = cells
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join(GAP)
}
