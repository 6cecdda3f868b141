//! The configuration changes; VMs that have the new version forward to VMs that have not got it yet. Two of the VMs were
//! stopped and started again before, as in any roll-out, so that their calls to the store are not in step.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Case;
use crate::fleet::{self, SIGTERM, Size, Vm};
use crate::http::{Client, Message, listen, request};
use crate::record::Record;
use crate::server::{Identity, Server, answer, attempt};
use crate::setup::{HOST, Route, write_configuration};
use crate::store::Store;

const SIZE: Size = Size {
    memory_mb: 260,
    descriptors: 4_100,
    retry_slack: 58,
};
/// The rule's slack, `downgradeSlackMs`.
const SLACK: Duration = Duration::from_millis(250);
/// `contactMs`; twice as long passes after the last restart until the first change.
const CONTACT: Duration = Duration::from_secs(5);
const CHANGES: u64 = 16;
/// Time between two changes, and what is added to it each time; longer than `configApplyMs`, 3 s.
const CHANGE_PERIOD: Duration = Duration::from_millis(3_100);
const CHANGE_STEP: Duration = Duration::from_millis(37);
/// Time between two restarts.
const RESTART_GAP: Duration = Duration::from_millis(330);
const REQUEST_PERIOD: Duration = Duration::from_millis(60);
/// Model servers of the site, which register themselves beside those of the routes.
const OTHERS: u8 = 18;
/// Letters of the services to which the routes lead by turns.
const LETTERS: [&str; 2] = ["a", "b"];

/// When a request was sent or run, and at which VM or by which service.
struct Event {
    at: Instant,
    place: String,
    id: String,
}

/// What happened, in its order.
#[derive(Clone, Default)]
struct Events(Arc<Mutex<Vec<Event>>>);

impl Events {
    fn add(&self, place: &str, id: &str) {
        let mut events = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(Event {
            at: Instant::now(),
            place: place.to_owned(),
            id: id.to_owned(),
        });
    }

    fn take(&self) -> Vec<Event> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

pub fn run(case: &Case) -> bool {
    let store = Store::default();
    let vms: Vec<_> = (1..)
        .zip(case.zones)
        .map(|(at, zone)| Vm::new(&case.folder, at, zone))
        .collect();
    let store_address = store.serve(listen(IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1))));
    let seeds: Vec<_> = vms.iter().map(|vm| vm.peer).collect();
    for vm in &vms {
        vm.write_settings(store_address, &seeds, SIZE, &case.zones);
    }
    configure(&store, &case.zones, 1);
    let (sent, ran) = (Events::default(), Events::default());
    let served = ran.clone();
    let handler = Arc::new(move |identity: &Identity, request: &Message, writer: &mut TcpStream| {
        served.add(&identity.service, attempt(&request.head));
        answer(writer, &request.head, b"done")
    });
    let start = |service: &str, zone: &str, ip: u8| {
        let identity = Identity {
            id: format!("i-{ip}"),
            service: service.into(),
            zone: zone.into(),
            slots: 6,
        };
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 4, ip));
        Server::start(ip, identity, &store, &case.record, handler.clone());
    };
    let mut ip = 0;
    for (zone, region) in case.zones {
        for (kind, letter) in ["near", "pay"]
            .iter()
            .flat_map(|kind| LETTERS.map(|letter| (kind, letter)))
        {
            ip += 1;
            start(&format!("{kind}-{region}-{letter}"), zone, ip);
        }
    }
    for other in 0..OTHERS {
        // Servers start at different moments, so that their heartbeats are spread.
        std::thread::sleep(Duration::from_millis(61));
        start("other", case.zones[usize::from(other) % 3].0, ip + 1 + other);
    }
    fleet::start(&case.folder, &vms, &case.record);
    std::thread::sleep(CONTACT);
    let is_over = Arc::<AtomicBool>::default();
    let mut callers = Vec::new();
    for vm in &vms {
        let others = vms.iter().filter(|other| other.region != vm.region);
        let pays = others.map(|other| ("POST", format!("pay/{}", other.region)));
        for (method, path) in pays.chain([("GET", format!("near/{}", vm.region))]) {
            let (vm, sent, record, is_over) = (vm.clone(), sent.clone(), case.record.clone(), Arc::clone(&is_over));
            callers.push(std::thread::spawn(move || {
                call(&vm, method, &path, &sent, &record, &is_over)
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    restart_in_turn(&vms[1..], &case.record);
    std::thread::sleep(2 * CONTACT);
    let mut regressions = 0;
    for change in 2..2 + CHANGES {
        let _before = (sent.take(), ran.take());
        if case.has_trouble {
            configure(&store, &case.zones, change);
        }
        std::thread::sleep(CHANGE_PERIOD + CHANGE_STEP * change as u32);
        regressions += count(&sent.take(), &ran.take(), change, &vms, &case.record);
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _panicked = caller.join();
    }
    case.record.add(format_args!(
        "payments handled as only an older version allows: {regressions}"
    ));
    regressions == 0
}

/// Stops VMs one after the other; the script starts them again.
fn restart_in_turn(vms: &[Vm], record: &Record) {
    for vm in vms {
        vm.signal(SIGTERM);
        std::thread::sleep(Duration::from_millis(1_500));
        while !vm.is_ready() {
            std::thread::sleep(Duration::from_millis(70));
        }
        record.add(format_args!("{} was stopped and is ready again", vm.name));
        std::thread::sleep(RESTART_GAP);
    }
}

fn letter(change: u64) -> &'static str {
    LETTERS[(change % 2) as usize]
}

/// Writes a configuration; with each change, the routes lead to the services of the other letter.
fn configure(store: &Store, zones: &[(&str, &str)], change: u64) {
    let names: Vec<_> = zones
        .iter()
        .flat_map(|(_, region)| {
            ["near", "pay"].map(|kind| {
                let services = [letter(change), letter(change + 1)].map(|letter| format!("{kind}-{region}-{letter}"));
                (
                    kind,
                    *region,
                    services,
                    [format!("/{kind}/{region}/"), format!("/old/{kind}/{region}/")],
                )
            })
        })
        .collect();
    let homes: BTreeMap<&str, [&str; 1]> = zones.iter().map(|(_, region)| (*region, [*region])).collect();
    let mut routes = vec![Route {
        prefix: "/other/",
        service: "other",
        ..Route::default()
    }];
    for (kind, region, [service, other], [prefix, old]) in &names {
        routes.push(Route {
            prefix,
            service,
            kind: if *kind == "pay" { "non_idempotent" } else { "idempotent" },
            regions: &homes[region],
            ..Route::default()
        });
        // The other services stay in the configuration.
        routes.push(Route {
            prefix: old,
            service: other,
            ..Route::default()
        });
    }
    write_configuration(store, 4 + 3 * change, &routes);
}

/// Counts the payments that were sent to a VM more than the slack after a server had seen the effect of a version from it, and
/// that an old service ran.
fn count(sent: &[Event], ran: &[Event], change: u64, vms: &[Vm], record: &Record) -> usize {
    let old = format!("-{}", letter(change + 1));
    let mut total = 0;
    for vm in vms {
        let near = format!("near-{}-{}", vm.region, letter(change));
        let Some(seen) = ran.iter().find(|event| event.place == near) else {
            continue;
        };
        let mut late = sent
            .iter()
            .filter(|event| event.place == vm.name && event.at > seen.at + SLACK);
        let is_old = |id: &str| {
            let mut runs = ran.iter();
            runs.any(|event| event.id == id && event.place.starts_with("pay-") && event.place.ends_with(&old))
        };
        let regressed: Vec<_> = late.by_ref().filter(|event| is_old(&event.id)).collect();
        if let Some(last) = regressed.last() {
            let (number, after_ms) = (regressed.len(), (last.at - seen.at).as_millis());
            let id = &last.id;
            record.add(format_args!(
                "version {}: {} showed it; {number} payments that were sent to it over 250 ms later ran at the old service, \
                 the last one, {id}, {after_ms} ms later",
                4 + 3 * change,
                vm.name
            ));
        }
        total += regressed.len();
    }
    total
}

/// Sends requests to a VM, one each period, on a connection of their own.
fn call(vm: &Vm, method: &str, path: &str, sent: &Events, record: &Record, is_over: &AtomicBool) {
    for n in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{}-{path}-{n}", vm.name);
        if let Ok(mut client) = Client::connect(vm.listen, Duration::from_secs(3)) {
            sent.add(&vm.name, &id);
            let answer = client.call(&request(method, &format!("/{path}/x"), HOST, &id, 3_000, b"order"));
            let status = answer.map_or(0, |answer| answer.head.status());
            if status != 200 {
                record.add(format_args!("{id} answered {status}"));
            }
        }
        std::thread::sleep(REQUEST_PERIOD);
    }
}
