//! Prints results as a Markdown table.

/// Prints a header and rows; each column is as wide as its widest cell.
pub fn print(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: &[String]| {
        let padded = cells.iter().zip(&widths);
        let padded: Vec<String> = padded
            .map(|(cell, width)| format!("{cell:>width$}"))
            .collect();
        println!("| {} |", padded.join(" | "));
    };
    line(&header.iter().map(ToString::to_string).collect::<Vec<_>>());
    line(
        &widths
            .iter()
            .map(|&width| "-".repeat(width))
            .collect::<Vec<_>>(),
    );
    for row in rows {
        line(row);
    }
    println!();
}
