//! Stand-ins and checks of the cases of the second review: `standin CASE FOLDER RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod callers;
mod deadly_part;
mod engine;
mod fleet;
mod held_bodies;
mod http;
mod json;
mod older_receiver;
mod open_bodies;
mod record;
mod server;
mod setup;
mod slow_readers;
mod store;
mod uploads;

use std::path::PathBuf;

use record::Record;

/// What a case gets.
pub struct Case {
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption is made.
    pub has_trouble: bool,
    /// Zones and their regions.
    pub zones: [(&'static str, &'static str); 3],
}

/// Zones and regions of `kowalczyk-tiles-grown`, one zone of each region.
const TILES: [(&str, &str); 3] = [
    ("erie-toledo", "erie"),
    ("mich-racine", "michigan"),
    ("sup-duluth", "superior"),
];

/// Zones and regions of `oplatex-shallot`.
const FEES: [(&str, &str); 3] = [("waw-a", "pl-central"), ("krk-a", "pl-south"), ("poz-a", "pl-west")];

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder, record] = args.as_slice() else {
        eprintln!("standin CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let case = Case {
        folder: PathBuf::from(folder),
        record: Record::create(record.as_ref()),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        zones: if matches!(name.as_str(), "older-receiver" | "deadly-part") {
            FEES
        } else {
            TILES
        },
    };
    case.record
        .add(format_args!("case {name}, disruption: {}", case.has_trouble));
    let holds = match name.as_str() {
        "slow-readers" => slow_readers::run(&case),
        "older-receiver" => older_receiver::run(&case),
        "open-bodies" => open_bodies::run(&case),
        "held-bodies" => held_bodies::run(&case),
        "deadly-part" => deadly_part::run(&case),
        "uploads" => uploads::run(&case),
        _ => std::process::exit(2),
    };
    case.record
        .add(if holds { "the rule held" } else { "the rule was broken" });
    std::process::exit(i32::from(!holds));
}
