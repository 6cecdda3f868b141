//! Stand-ins of the platform's store, of model servers and of clients, and the check of a case.
//!
//! `standin ports N` prints free ports. `standin CASE` plays a case before gateways that the case's script has started,
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod engine;
mod http;
mod record;
mod store;

use std::net::TcpListener;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["ports", count] => print_ports(count.parse().expect("a number")),
        [case] => return ExitCode::from(cases::play(case)),
        _ => return ExitCode::from(2),
    }
    ExitCode::SUCCESS
}

/// Prints ports that nobody uses, below those that the system gives to outgoing connections.
fn print_ports(count: usize) {
    const FIRST: u32 = 12_000;
    const NUMBER: u32 = 18_000;
    let nanos = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.subsec_nanos());
    let start = (nanos / 1_000).wrapping_add(std::process::id() * 97) % NUMBER;
    let ports = (0..NUMBER).map(|step| FIRST + (start + step) % NUMBER);
    let free = ports.filter(|port| TcpListener::bind(("127.0.0.1", *port as u16)).is_ok());
    for port in free.take(count) {
        println!("{port}");
    }
}
