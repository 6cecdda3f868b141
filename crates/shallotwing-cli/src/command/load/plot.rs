//! An SVG plot that compares runs.

use std::fmt::Write as _;

use super::record::{QUANTILES, Row, Summary};
use crate::command::config::read;
use crate::failure::Failure;

const WIDTH: f64 = 760.0;
const ROW_HEIGHT: f64 = 22.0;
const GROUP_GAP: f64 = 26.0;
const LABEL_WIDTH: f64 = 240.0;
const BAR_WIDTH: f64 = 420.0;
const COLOURS: [&str; 4] = ["#4878a8", "#c0703c", "#5a9a5a", "#8868a8"];

/// A bar of the plot.
struct Bar {
    label: String,
    value_ms: f64,
    colour: &'static str,
}

/// Plots the times to the first byte and to the end of each result.
pub(crate) fn write_plot(files: &[String], svg: &str) -> Result<(), Failure> {
    let mut runs = Vec::new();
    for file in files {
        let summary: Summary = serde_json::from_str(&read(file)?)
            .map_err(|error| Failure::InvalidInput(format!("{file} is not a result of `load --json`: {error}")))?;
        runs.push((file.as_str(), summary));
    }
    std::fs::write(svg, render(&runs))
        .map_err(|error| Failure::InvalidInput(format!("cannot write {svg}: {error}")))?;
    println!("{svg} is written");
    Ok(())
}

fn render(runs: &[(&str, Summary)]) -> String {
    let groups = [
        ("first byte, p50", bars_of(runs, 0, |row| &row.first_ms)),
        ("first byte, p99", bars_of(runs, 3, |row| &row.first_ms)),
        ("end, p50", bars_of(runs, 0, |row| &row.end_ms)),
        ("end, p99", bars_of(runs, 3, |row| &row.end_ms)),
    ];
    let largest = groups
        .iter()
        .flat_map(|(_, bars)| bars)
        .map(|bar| bar.value_ms)
        .fold(0.001, f64::max);
    let mut body = String::new();
    let mut y = GROUP_GAP;
    for (title, bars) in &groups {
        add_text(&mut body, 8.0, y, "font-weight=\"bold\"", &format!("{title}, ms"));
        y += 8.0;
        for bar in bars {
            let width = bar.value_ms / largest * BAR_WIDTH;
            writeln!(
                body,
                "<rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"{width:.1}\" height=\"{}\" fill=\"{}\"/>",
                ROW_HEIGHT - 6.0,
                bar.colour
            )
            .expect("writing to a string cannot fail");
            add_text(&mut body, 16.0, y + 12.0, "", &bar.label);
            add_text(
                &mut body,
                LABEL_WIDTH + width + 6.0,
                y + 12.0,
                "",
                &format!("{:.1}", bar.value_ms),
            );
            y += ROW_HEIGHT;
        }
        y += GROUP_GAP;
    }
    format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{y}\" font-family=\"sans-serif\" \
         font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n{body}</svg>\n"
    )
}

/// Returns the bars of one quantile, one for each run and kind of request.
fn bars_of(runs: &[(&str, Summary)], quantile: usize, values: impl Fn(&Row) -> &Vec<f64>) -> Vec<Bar> {
    debug_assert!(quantile < QUANTILES.len(), "the index refers to a reported quantile");
    let mut bars = Vec::new();
    for (index, (file, summary)) in runs.iter().enumerate() {
        for row in &summary.rows {
            let value_ms = values(row).get(quantile).copied().unwrap_or_default();
            bars.push(Bar {
                label: format!("{file}: {}", row.target),
                value_ms,
                colour: COLOURS[index % COLOURS.len()],
            });
        }
    }
    bars
}

fn add_text(body: &mut String, x: f64, y: f64, attributes: &str, text: &str) {
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    writeln!(body, "<text x=\"{x:.1}\" y=\"{y:.1}\" {attributes}>{text}</text>")
        .expect("writing to a string cannot fail");
}
