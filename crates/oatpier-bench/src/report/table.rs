//! Aligned text tables.

use std::fmt;

/// Table whose first column is aligned to the left and whose other columns are aligned to the right.
#[derive(Debug, Clone, Default)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the given headings.
    #[must_use]
    pub fn new(headings: &[&str]) -> Self {
        let mut table = Self::default();
        table.push(headings.iter().map(ToString::to_string).collect());
        table
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect()
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (column, (cell, width)) in row.iter().zip(&widths).enumerate() {
                let cell = if column == 0 {
                    format!("{cell:<width$}")
                } else {
                    format!("  {cell:>width$}")
                };
                line.push_str(&cell);
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
