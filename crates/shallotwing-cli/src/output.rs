//! Output as text or JSON.

use serde::Serialize;

/// Prints `value` as JSON, or what `text` makes of it.
pub(crate) fn print<T: Serialize>(json: bool, value: &T, text: impl FnOnce(&T) -> String) {
    if json {
        let json = serde_json::to_string_pretty(value).expect("outputs have text keys and serialize");
        println!("{json}");
    } else {
        let text = text(value);
        if !text.is_empty() {
            println!("{text}");
        }
    }
}
