//! The `check` and `diff` commands.

use std::io::Read as _;

use clap::Args;
use serde::Serialize;
use serde_json::json;
use sw_conf::{Fleet, SectionChange, diff};

use crate::command::store::{StoreArgs, current};
use crate::failure::Failure;
use crate::output::print;

/// Check a fleet configuration.
#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  shallotwing check fleet.ini\n  python3 fleet.py | shallotwing check -")]
pub(crate) struct Check {
    /// Configuration file; `-` for standard input.
    file: String,
}

/// Show what a configuration would change.
///
/// The exit code is 0 if nothing would change, and 1 if something would.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  shallotwing diff --store 127.0.0.1:2379 fleet.ini")]
pub(crate) struct Diff {
    #[command(flatten)]
    store: StoreArgs,
    /// Configuration file; `-` for standard input.
    file: String,
}

/// A changed section, as it is printed.
#[derive(Debug, Serialize)]
pub(crate) struct ChangeRow {
    change: String,
    section: String,
}

impl Check {
    pub(crate) fn run(self, json: bool) -> Result<(), Failure> {
        let fleet =
            Fleet::parse(&self.file, &read(&self.file)?).map_err(|errors| Failure::InvalidInput(errors.to_string()))?;
        let summary = json!({
            "regions": fleet.regions.len(),
            "domains": fleet.domains.len(),
            "endpoints": fleet.endpoints.len(),
            "models": fleet.models.len(),
            "routes": fleet.routes.len(),
            "workspaces": fleet.workspaces.len(),
        });
        print(json, &summary, |summary| format!("{}: good {summary}", self.file));
        Ok(())
    }
}

impl Diff {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        let text = read_valid(&self.file)?;
        let current_text = current(&self.store.client())
            .await?
            .map_or(String::new(), |(_, text)| text);
        let rows = change_rows(&diff(&current_text, &text));
        print(json, &rows, |rows| format_changes(rows));
        if rows.is_empty() {
            Ok(())
        } else {
            Err(Failure::Negative(format!("{} sections differ", rows.len())))
        }
    }
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read(file: &str) -> Result<String, Failure> {
    let read = if file == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    read.map_err(|error| Failure::InvalidInput(format!("cannot read {file}: {error}")))
}

/// Reads a fleet configuration and checks that it is valid.
pub(crate) fn read_valid(file: &str) -> Result<String, Failure> {
    let text = read(file)?;
    Fleet::parse(file, &text).map_err(|errors| Failure::InvalidInput(errors.to_string()))?;
    Ok(text)
}

/// Converts changes to rows of the output.
pub(crate) fn change_rows(changes: &[SectionChange]) -> Vec<ChangeRow> {
    let row = |change: &SectionChange| ChangeRow {
        change: change.kind.to_string(),
        section: change.section.clone(),
    };
    changes.iter().map(row).collect()
}

/// Formats changes, one per line.
pub(crate) fn format_changes(rows: &[ChangeRow]) -> String {
    let lines: Vec<_> = rows
        .iter()
        .map(|row| format!("{} [{}]", row.change, row.section))
        .collect();
    lines.join("\n")
}
