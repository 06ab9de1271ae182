//! Aligned columns for people.

/// Gap between columns.
const GAP: &str = "  ";

/// Rows of text under a header.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Table with a header.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|h| h.to_uppercase()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Lines with columns as wide as their longest cell.
    ///
    /// ```
    /// use corianderramp::cmd::table;
    ///
    /// let mut table = table::Table::new(&["name", "live"]);
    /// table.row(vec!["cb-a".into(), "3".into()]);
    /// assert_eq!(table.render(), "NAME  LIVE\ncb-a  3\n");
    /// ```
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns)
            .map(|i| self.rows.iter().map(|r| width(r, i)).max().unwrap_or(0))
            .collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }
}

fn width(row: &[String], column: usize) -> usize {
    row.get(column).map_or(0, |cell| cell.chars().count())
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, &width)| format!("{cell:width$}"))
        .collect();
    padded.join(GAP).trim_end().to_owned() + "\n"
}

/// Bytes in the unit that people read most easily.
///
/// ```
/// use corianderramp::cmd::table;
///
/// assert_eq!(table::bytes(999), "999 B");
/// assert_eq!(table::bytes(12_400_000), "12.4 MB");
/// ```
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn bytes(count: u64) -> String {
    const UNITS: [(u64, &str); 3] = [(1_000_000_000, "GB"), (1_000_000, "MB"), (1_000, "kB")];
    let unit = UNITS.iter().find(|(size, _)| count >= *size);
    match unit {
        Some((size, name)) => format!("{:.1} {name}", count as f64 / *size as f64),
        None => format!("{count} B"),
    }
}
