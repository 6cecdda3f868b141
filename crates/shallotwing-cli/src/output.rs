//! Output as text or JSON.

use serde::Serialize;

/// Prints `value` as JSON if `json` is set, and as formatted by `text` otherwise.
pub(crate) fn print<T: Serialize>(json: bool, value: &T, text: impl FnOnce(&T) -> String) {
    if json {
        let json = serde_json::to_string_pretty(value).expect("outputs have string keys, so they serialize");
        println!("{json}");
    } else {
        let text = text(value);
        if !text.is_empty() {
            println!("{text}");
        }
    }
}
