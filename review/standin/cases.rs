//! The cases: what clients send, and the check of the rule as it is written.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engine::{self, Behaviour, Crash};
use crate::http::{self, Outcome};
use crate::record::Record;
use crate::store::Store;

/// `contactMs` of the deployment.
const CONTACT_MS: u64 = 5_000;
const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;
const HOST: &str = "ledger.example";
/// The part that all prompts of the route begin with.
const FIRST_PART: &str = "aaaa0001:400";
/// The part that crashes servers.
const BAD_PART: &str = "dead0001:300";
const DEADLINE: Duration = Duration::from_secs(12);

/// What the script hands over in the environment.
struct World {
    vms: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    dir: PathBuf,
    servers: Vec<Arc<engine::Shared>>,
    store: Store,
    record: Record,
    trouble: bool,
    /// Whether prompts have parts in common.
    shares_parts: bool,
    attempts: AtomicU64,
    /// What arrived of streams that broke off.
    begun: Mutex<HashMap<u64, String>>,
}

pub fn play(case: &str) -> u8 {
    let trouble = env("TROUBLE") != "0";
    let behaviour = Behaviour {
        crash: match (trouble, case) {
            (_, "restart") => Crash::AfterHead,
            (false, _) => Crash::Never,
            (true, "first-event") => Crash::AfterFirstEvent,
            (true, "request-later") => Crash::Halfway,
            (true, _) => Crash::AfterHead,
        },
        bad_part: BAD_PART.to_owned(),
        unframed: case == "unframed",
        events: match case {
            "cold" => 4,
            "versions" | "request-later" | "taken-up" => 40,
            _ => 20,
        },
        event_gap: Duration::from_millis(if case == "taken-up" { 250 } else { 75 }),
        same_id: matches!(case, "cold" | "versions"),
        updated: case == "versions",
        mixed: case == "taken-up",
        cold_ms: if case == "cold" { 3_000 } else { 0 },
        down: Duration::from_millis(match case {
            "cold" => 2_000,
            "versions" => 2_300,
            _ => 2_500,
        }),
    };
    let world: &'static World = Box::leak(Box::new(start(case, &behaviour, trouble)));
    if !world.wait_ready() {
        world.record.line("a gateway is not ready");
        return NOT_RUN;
    }
    world.record.line("all gateways are ready");
    match case {
        "first-event" | "after-head" => world.crashing_part(),
        "request" | "request-later" => world.crashing_request(),
        "unframed" => world.sound_requests(),
        "group" => world.part_in_groups(),
        "restart" => world.part_after_restart(),
        "cold" => world.cold_server(),
        "taken-up" => world.taken_up_streams(),
        "versions" => world.updated_server(),
        _ => NOT_RUN,
    }
}

fn start(case: &str, behaviour: &Behaviour, trouble: bool) -> World {
    let record = Record::create(&env("RECORD"));
    let store = Store::start(env("STORE").parse().expect("an address"));
    let cold = if case == "cold" {
        "\"coldS\":3.0,\"coldPerS\":2.4"
    } else {
        "\"coldS\":0.0,\"coldPerS\":0.0"
    };
    store.put("op/config", &config(cold, matches!(case, "versions" | "taken-up")));
    let in_region = if case == "versions" { 2 } else { 4 };
    let local = format!("{}-a", env("LOCAL"));
    let names = ["a", "b", "c", "d", "e", "f"];
    let servers = addresses("SERVERS").into_iter().enumerate().map(|(index, address)| {
        let zone = if index < in_region { local.as_str() } else { "multan-a" };
        engine::start(names[index], address, zone, &store, &record, behaviour)
    });
    let servers = servers.collect();
    World {
        vms: addresses("VMS"),
        ready: addresses("READY"),
        dir: env("DIR").into(),
        servers,
        store,
        record,
        trouble,
        shares_parts: case != "versions",
        attempts: AtomicU64::new(0),
        begun: Mutex::default(),
    }
}

fn config(cold: &str, resumable: bool) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"digest","hostname":"{HOST}","prefix":"/digest/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":1200,"priority":1,"service":"drafts","maxAttempts":2,"sticky":true,"resumable":{resumable},"gapTargetMs":800,"allowedRegions":[]}}],"services":[{{"name":"drafts","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,{cold},"engine":{{"slots":64,"kvCapacityTokens":427047,"kvTokenBytes":18432,"linkMbps":550000.0,"moves":true,"backups":true,"stride":8,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn env(name: &str) -> String {
    std::env::var(name).unwrap_or_default()
}

fn addresses(name: &str) -> Vec<SocketAddr> {
    env(name)
        .split(',')
        .map(|address| address.parse().expect("an address"))
        .collect()
}

impl World {
    /// Waits until the gateways are ready and have had the time to know each other.
    fn wait_ready(&self) -> bool {
        let is_ready = |address: &SocketAddr| {
            let host = format!("Host: {address}\r\n");
            http::send(*address, "GET", "/v1/ready", &host, b"", Duration::from_secs(1)).status == 200
        };
        for _ in 0..50 {
            if self.ready.iter().all(is_ready) {
                thread::sleep(Duration::from_secs(4));
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends a prompt to a gateway in a thread of its own.
    fn send(&'static self, vm: usize, bad: bool) {
        self.send_tokens(vm, bad, 1_100);
    }

    /// Sends a prompt of this many tokens.
    fn send_tokens(&'static self, vm: usize, bad: bool, tokens: u64) {
        let number = self.attempts.fetch_add(1, Ordering::SeqCst);
        thread::spawn(move || {
            let kind = if bad { "bad" } else { "sound" };
            let id = format!("{kind}-{number}");
            let middle = if bad {
                BAD_PART.to_owned()
            } else {
                format!("bbbb{:04x}:220", number % 10)
            };
            let own = format!("cccc{number:04x}:{}", tokens - 700);
            let parts = if self.shares_parts {
                format!("{FIRST_PART},{middle},{own}")
            } else {
                own
            };
            let headers = format!(
                "Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Model: m\r\nX-Token-Usage: {tokens},80\r\n\
                 X-Prompt-Prefix: {parts}\r\n",
                DEADLINE.as_millis()
            );
            self.record.line(&format!("{id} sent to vm {vm}"));
            let body = format!("prompt {number}").into_bytes();
            let outcome = http::send(self.vms[vm], "POST", "/digest/x", &headers, &body, DEADLINE);
            self.record.line(&format!("{id} ends: {}", describe(&outcome)));
            let has = |version: &str| String::from_utf8_lossy(&outcome.body).contains(version);
            if has(" by v1\n") && has(" by v2\n") {
                self.record.line(&format!("{id} holds events of v1 and of v2"));
            }
        });
    }

    /// Sends sound prompts in turn to all gateways, `rate` a second, until the thread ends with the process.
    fn send_sound(&'static self, rate: u64) {
        thread::spawn(move || {
            for turn in 0.. {
                self.send(turn % self.vms.len(), false);
                thread::sleep(Duration::from_millis(1_000 / rate));
            }
        });
    }

    /// A part crashes each server that begins to write an answer on it. BUDGET: more than three requests with that part
    /// reach servers later than `contactMs` after the fifth crash.
    fn crashing_part(&'static self) -> u8 {
        self.send_sound(6);
        thread::sleep(Duration::from_secs(3));
        for turn in 0..30 {
            self.send(turn % self.vms.len(), true);
            thread::sleep(Duration::from_millis(1_000));
        }
        thread::sleep(Duration::from_secs(2));
        self.judge_part()
    }

    fn judge_part(&self) -> u8 {
        let crashes = self.record.times(|line| line.ends_with(" crashes"));
        let Some(fifth) = crashes.get(4) else {
            self.record.line(&format!("verdict: held, {} crashes", crashes.len()));
            return HELD;
        };
        let reached = self.record.times(|line| line.ends_with(" bad-part"));
        let late = reached.iter().filter(|at| **at > fifth + CONTACT_MS).count();
        let verdict = if late > 3 { BROKEN } else { HELD };
        self.record.line(&format!(
            "verdict: {}, {} crashes, the fifth at {fifth} ms, {late} requests with the part reached servers later than \
             {CONTACT_MS} ms after it; since then {}",
            if verdict == BROKEN { "broken" } else { "held" },
            crashes.len(),
            self.lost(fifth + CONTACT_MS),
        ));
        verdict
    }

    /// A part crashes servers whose answers end with their connections. LOST: from 2 x `contactMs` after the last crash,
    /// sound requests with the same first part begin at the first attempt less than half as often as before.
    fn sound_requests(&'static self) -> u8 {
        self.send_sound(8);
        thread::sleep(Duration::from_secs(10));
        let trouble_at = self.record.now();
        for turn in 0..30 {
            self.send(turn % self.vms.len(), true);
            thread::sleep(Duration::from_millis(1_000));
        }
        let end = self.record.now();
        thread::sleep(Duration::from_secs(3));
        let crashes = self.record.times(|line| line.ends_with(" crashes"));
        let last = crashes.get(4).or(crashes.last()).copied().unwrap_or(trouble_at);
        let before = self.begun_share(0, trouble_at - 2_500);
        let after = self.begun_share(last + 2 * CONTACT_MS, end);
        let is_broken = before.0 >= 20 && after.0 >= 20 && after.1 < before.1 / 2.0;
        self.record.line(&format!(
            "verdict: {}, {} crashes; sound requests that began at the first attempt: {:.3} of {} before, {:.3} of {} \
             from {} ms to {end} ms",
            if is_broken { "broken" } else { "held" },
            crashes.len(),
            before.1,
            before.0,
            after.1,
            after.0,
            last + 2 * CONTACT_MS,
        ));
        if before.0 < 20 || after.0 < 20 {
            return NOT_RUN;
        }
        if is_broken { BROKEN } else { HELD }
    }

    /// A request crashes each server that runs it, and comes again. BUDGET: it reaches servers in more than three retries
    /// later than `contactMs` after it has crashed the third.
    fn crashing_request(&'static self) -> u8 {
        self.send_sound(6);
        thread::sleep(Duration::from_secs(3));
        for turn in 0..16 {
            thread::spawn(move || {
                let id = format!("again-{turn}");
                let headers = format!(
                    "Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nX-Model: m\r\nX-Token-Usage: 1100,80\r\n\
                     X-Prompt-Prefix: {FIRST_PART},bbbb0003:220,cccc9999:180\r\n",
                    DEADLINE.as_millis()
                );
                let vm = self.vms[turn % self.vms.len()];
                let outcome = http::send(vm, "POST", "/digest/x", &headers, engine::BAD_BODY, DEADLINE);
                self.record.line(&format!("{id} ends: {}", describe(&outcome)));
            });
            thread::sleep(Duration::from_millis(2_200));
        }
        thread::sleep(Duration::from_secs(2));
        let crashes = self.record.times(|line| line.ends_with(" crashes"));
        let reached = self.record.times(|line| line.ends_with(" bad-part"));
        let third = crashes.get(2).copied().unwrap_or(u64::MAX - CONTACT_MS);
        let late = reached.iter().filter(|at| **at > third + CONTACT_MS).count();
        let verdict = if late > 3 { BROKEN } else { HELD };
        self.record.line(&format!(
            "verdict: {}, {} crashes; the request reached servers {late} times later than {CONTACT_MS} ms after the third",
            if verdict == BROKEN { "broken" } else { "held" },
            crashes.len(),
        ));
        verdict
    }

    /// Returns how many sound requests were sent between two times, and the share that began.
    fn begun_share(&self, from: u64, to: u64) -> (usize, f64) {
        let sent = |line: &str| line.starts_with("sound-") && line.contains(" sent to ");
        let ids = self.record.matching(sent, from, to);
        let ids: Vec<&str> = ids.iter().filter_map(|line| line.split(' ').next()).collect();
        let begun = ids.iter().filter(|id| {
            let ends = format!("{id} ends: 200 ");
            !self.record.times(|line| line.starts_with(&ends)).is_empty()
        });
        (ids.len(), begun.count() as f64 / ids.len().max(1) as f64)
    }

    /// Prompts with a part that crashes servers come in groups. BUDGET as above.
    fn part_in_groups(&'static self) -> u8 {
        self.send_sound(6);
        thread::sleep(Duration::from_secs(2));
        // As long as the prompts of the sheet's two kinds of streams.
        for tokens in [2_368, 11_992, 11_992] {
            for turn in 0..8 {
                self.send_tokens(turn % self.vms.len(), true, tokens);
                thread::sleep(Duration::from_millis(25));
            }
            thread::sleep(Duration::from_secs(6));
        }
        self.judge_part()
    }

    /// A part crashes servers; later all gateways are killed at the same moment. BUDGET as above.
    fn part_after_restart(&'static self) -> u8 {
        self.send_sound(6);
        thread::sleep(Duration::from_secs(2));
        self.send_bad_together(6);
        thread::sleep(Duration::from_millis(3_500));
        self.send_bad_together(3);
        thread::sleep(Duration::from_secs(6));
        self.send_bad_together(3);
        thread::sleep(Duration::from_secs(1));
        if self.trouble {
            self.record.line("all gateways are killed");
            fs::write(self.dir.join("kill"), "").expect("the script can be told");
        }
        thread::sleep(Duration::from_secs(9));
        self.record.line("the part comes again");
        self.send_bad_together(8);
        thread::sleep(Duration::from_secs(6));
        self.judge_part()
    }

    /// A server crashes and comes back cold, under the id that it had, while the store is down. FAILBACK: a cold server
    /// gets more requests in one second than coldPerS x coldOvershoot + coldSlack, summed over all machines.
    fn cold_server(&'static self) -> u8 {
        const COLD_MS: u64 = 3_000;
        const MOST_IN_A_SECOND: f64 = 2.4 * 1.5 + 3.0;
        for vm in [0, 1] {
            thread::spawn(move || {
                loop {
                    self.send(vm, false);
                    thread::sleep(Duration::from_millis(26));
                }
            });
        }
        thread::sleep(Duration::from_secs(5));
        if self.trouble {
            if env("OUTAGE") != "0" {
                self.record.line("the store is down");
                self.store.set_down(true);
            }
            thread::sleep(Duration::from_millis(1_000));
            self.servers[0].crash("i-a");
            thread::sleep(Duration::from_secs(7));
            self.record.line("the store is back");
            self.store.set_down(false);
        }
        thread::sleep(Duration::from_secs(3));
        let back = self.record.times(|line| line.starts_with("i-a is back"));
        let ran = self.record.times(|line| line.starts_with("i-a runs "));
        // The server is cold again after each crash.
        let is_cold = |at: &u64| back.iter().any(|back| (*back..back + COLD_MS).contains(at));
        let cold: Vec<_> = ran.into_iter().filter(is_cold).collect();
        let in_second = |from: &u64| cold.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
        let most = cold.iter().map(in_second).max().unwrap_or(0);
        let is_broken = most as f64 > MOST_IN_A_SECOND;
        self.record.line(&format!(
            "verdict: {}, the cold server got {} requests, at most {most} in one second; {MOST_IN_A_SECOND:.1} are allowed; \
             {} crashes; {}",
            if is_broken { "broken" } else { "held" },
            cold.len(),
            self.record.times(|line| line.ends_with(" crashes")).len(),
            self.lost(0),
        ));
        if is_broken { BROKEN } else { HELD }
    }

    /// A server crashes while the store is down, and comes back under the id that it had with a newer version of its
    /// software; then another one crashes. ORDER: more than two streams hold events of two versions.
    fn updated_server(&'static self) -> u8 {
        for vm in [0, 1] {
            thread::spawn(move || {
                loop {
                    self.send(vm, false);
                    thread::sleep(Duration::from_millis(80));
                }
            });
        }
        thread::sleep(Duration::from_secs(10));
        if self.trouble {
            self.servers[0].crash("i-a");
            thread::sleep(Duration::from_millis(2_000));
            if env("OUTAGE") != "0" {
                self.record.line("the store is down");
                self.store.set_down(true);
            }
            thread::sleep(Duration::from_millis(7_000));
            self.servers[1].crash("i-b");
            thread::sleep(Duration::from_millis(1_000));
            self.record.line("the store is back");
            self.store.set_down(false);
        }
        thread::sleep(Duration::from_secs(6));
        let mixed = self
            .record
            .times(|line| line.ends_with(" holds events of v1 and of v2"))
            .len();
        let is_broken = mixed > 2;
        let verdict = if is_broken { "broken" } else { "held" };
        self.record.line(&format!(
            "verdict: {verdict}, {mixed} streams hold events of two versions; two are allowed"
        ));
        if is_broken { BROKEN } else { HELD }
    }

    /// Streams of two software versions begin while the store is down, all gateways are killed, and clients take the streams
    /// up again when all are in touch. LOST: the share that goes on is under half of the share of new streams that begin.
    fn taken_up_streams(&'static self) -> u8 {
        const STREAMS: u64 = 30;
        self.send_sound(4);
        thread::sleep(Duration::from_secs(3));
        if self.trouble {
            self.record.line("the store is down");
            self.store.set_down(true);
        }
        thread::sleep(Duration::from_millis(500));
        for number in 0..STREAMS {
            self.stream(number, true);
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(1));
        if self.trouble {
            self.record.line("all gateways are killed");
            fs::write(self.dir.join("kill"), "").expect("the script can be told");
        }
        thread::sleep(Duration::from_secs(1));
        self.record.line("the store is back");
        self.store.set_down(false);
        thread::sleep(Duration::from_secs(7));
        for number in 0..STREAMS {
            self.stream(number, false);
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_secs(7));
        let count = |text: &str| self.record.times(|line| line.contains(text)).len();
        let (taken, went_on, joined) = (count(" is taken up "), count(" goes on"), count(" joins two versions"));
        let (new, begun) = (count(" is new "), count(" begins"));
        let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
        let is_broken = taken >= 12 && share(went_on, taken) < share(begun, new) / 2.0;
        self.record.line(&format!(
            "verdict: {}, {went_on} of {taken} streams that were taken up go on ({joined} at another version), {begun} of \
             {new} new ones begin",
            if is_broken { "broken" } else { "held" },
        ));
        if taken < 12 {
            return NOT_RUN;
        }
        if is_broken { BROKEN } else { HELD }
    }

    /// Starts a stream, breaks it off after 3 s unless it has ended before, and remembers what arrived; or takes it up again,
    /// beside a new one.
    fn stream(&'static self, number: u64, is_first: bool) {
        thread::spawn(move || {
            let vm = self.vms[number as usize % self.vms.len()];
            let headers = |id: &str, rest: &str| {
                format!(
                    "Host: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 12000\r\nX-Model: m\r\nX-Token-Usage: 1100,80\r\n\
                     X-Prompt-Prefix: cccc{number:04x}:380\r\n{rest}"
                )
            };
            let send =
                |id: &str, rest: &str| http::send_for(vm, "/digest/x", &headers(id, rest), Duration::from_secs(3));
            let id = format!("stream-{number}");
            if is_first {
                let outcome = send(&id, "");
                let text = String::from_utf8_lossy(&outcome.body).into_owned();
                self.record.line(&format!(
                    "{id} breaks off after event {} {}",
                    last_event(&text),
                    describe(&outcome)
                ));
                self.begun.lock().expect("no thread panics").insert(number, text);
                return;
            }
            let begun = self
                .begun
                .lock()
                .expect("no thread panics")
                .get(&number)
                .cloned()
                .unwrap_or_default();
            let last = last_event(&begun);
            if last == 0 {
                return;
            }
            let again = format!("again-{number}");
            self.record.line(&format!("{again} is taken up after event {last}"));
            let rest = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
            let outcome = send(&again, &rest);
            let text = String::from_utf8_lossy(&outcome.body).into_owned();
            let versions = |version: &str| begun.contains(version) || text.contains(version);
            if outcome.status == 200 && first_event(&text) == last + 1 {
                self.record.line(&format!("{again} goes on"));
            }
            if versions(" by v1\n") && versions(" by v2\n") {
                self.record.line(&format!("{again} joins two versions"));
            }
            self.record.line(&format!("{again} ends: {}", describe(&outcome)));
            let new = format!("new-{number}");
            self.record.line(&format!("{new} is new "));
            let outcome = send(&new, "");
            if outcome.status == 200 && !outcome.body.is_empty() {
                self.record.line(&format!("{new} begins"));
            }
            self.record.line(&format!("{new} ends: {}", describe(&outcome)));
        });
    }

    /// Describes how many sound prompts sent after a time broke off or were not known to have run.
    fn lost(&self, from: u64) -> String {
        let ends = self.record.matching(
            |line| line.starts_with("sound-") && line.contains(" ends: "),
            from,
            u64::MAX,
        );
        let broken = ends.iter().filter(|line| line.contains(" 200 broken off")).count();
        let unknown = ends.iter().filter(|line| line.contains(" 502 ")).count();
        format!("{broken} sound streams broke off, {unknown} sound prompts got 502")
    }

    /// Sends prompts with the part, one each 30 ms.
    fn send_bad_together(&'static self, count: usize) {
        for turn in 0..count {
            self.send(turn % self.vms.len(), true);
            thread::sleep(Duration::from_millis(30));
        }
    }
}

fn event_ids(text: &str) -> impl DoubleEndedIterator<Item = u64> + '_ {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok())
}

fn first_event(text: &str) -> u64 {
    event_ids(text).next().unwrap_or(0)
}

fn last_event(text: &str) -> u64 {
    event_ids(text).next_back().unwrap_or(0)
}

fn describe(outcome: &Outcome) -> String {
    let Outcome {
        status,
        complete,
        total_ms,
        ..
    } = outcome;
    let end = if *complete { "complete" } else { "broken off" };
    let first = outcome
        .first_byte_ms
        .map_or("no event".to_owned(), |ms| format!("first event after {ms} ms"));
    let reason = if outcome.stamp.is_some() {
        String::new()
    } else {
        String::from_utf8_lossy(&outcome.body).into_owned()
    };
    format!("{status} {end}, {first}, {total_ms} ms {reason}")
}
