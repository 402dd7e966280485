//! Prints tables for people and JSON for programs.

use std::io::{self, Write as _};

use crate::cli;

/// Rows with a heading each column of which is as wide as its widest cell.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts with the heading.
    pub fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn lines(&self) -> impl Iterator<Item = String> + '_ {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            self.rows
                .iter()
                .filter_map(|row| row.get(column))
                .map(|cell| cell.chars().count())
                .max()
        };
        let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
        self.rows.iter().map(move |row| {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> =
                cells.map(|(cell, &width)| format!("{cell:width$}")).collect();
            padded.join("  ").trim_end().to_owned()
        })
    }
}

/// Prints a value as JSON, or a table made from it.
pub fn print<T: serde::Serialize>(
    output: cli::Output,
    value: &T,
    table: impl FnOnce(&T) -> Table,
) -> io::Result<()> {
    let mut out = io::stdout().lock();
    match output {
        cli::Output::Json => {
            serde_json::to_writer_pretty(&mut out, value)?;
            writeln!(out)
        }
        cli::Output::Table => table(value).lines().try_for_each(|line| writeln!(out, "{line}")),
    }
}

/// The first digits of a digest, enough for people to tell versions apart.
pub fn short(digest: Option<&str>) -> String {
    digest.map_or_else(|| "-".to_owned(), |digest| digest.chars().take(12).collect())
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[googletest::test]
    fn columns_are_as_wide_as_their_widest_cell() {
        let mut table = Table::new(&["a", "b"]);
        table.row(vec!["long".to_owned(), "x".to_owned()]);
        let lines: Vec<String> = table.lines().collect();
        expect_that!(lines, elements_are![eq("a     b"), eq("long  x")]);
    }
}
