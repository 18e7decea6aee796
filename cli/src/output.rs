//! Prints results as tables or as JSON.

/// Format of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
pub enum Format {
    /// A table or plain text for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Prints indented JSON.
pub fn json(value: &serde_json::Value) {
    println!("{value:#}");
}

/// Prints rows in columns that are as wide as their longest cell.
pub fn table(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let longest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        longest.max(headings[column].len())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_row = |cells: Vec<&str>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        let joined: Vec<String> = padded.collect();
        println!("{}", joined.join("  ").trim_end());
    };
    print_row(headings.to_vec());
    for row in rows {
        print_row(row.iter().map(String::as_str).collect());
    }
}

/// Formats a value: strings without quotes, null as an empty text, anything else as JSON.
pub fn text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => String::new(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Prints a list of objects as JSON, or as a table. `fields` holds each column's heading and the JSON
/// pointer of its field.
pub fn list(format: Format, value: &serde_json::Value, fields: &[(&str, &str)]) {
    if format == Format::Json {
        return json(value);
    }
    let headings: Vec<&str> = fields.iter().map(|(heading, _)| *heading).collect();
    let items = value.as_array().map(Vec::as_slice).unwrap_or_default();
    let rows: Vec<Vec<String>> = items
        .iter()
        .map(|item| {
            fields
                .iter()
                .map(|(_, pointer)| field(item, pointer))
                .collect()
        })
        .collect();
    table(&headings, &rows);
}

fn field(item: &serde_json::Value, pointer: &str) -> String {
    item.pointer(pointer).map(text).unwrap_or_default()
}
