//! Stateful fuzz of at-most-once execution: several VMs' cores against a ledger of executions.
//!
//! VMs crash and restart, requests and answers between them are lost, delayed or repeated, bindings of idempotency
//! keys lose their answers, time passes, and tickets run out. The oracle is a count of executions by ticket.

mod support;

use std::collections::HashMap;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use sw_error::{Kind, Ran};
use sw_fuzz::{Independent, config};
use sw_gate::{Gate, TicketOwner};
use sw_once::{BeginOutcome, ExecutionOutcome, SavedResponse, Ticket, TicketStatus};
use sw_unit::{Bytes, Digest, Millis, Time, WorkspaceId};

const VMS: usize = 4;
const RETENTION: Millis = Millis(10_000);

/// A step; numbers pick one of what there is.
#[derive(Debug, Clone)]
enum Step {
    Issue { vm: usize },
    Bind { vm: usize, key: u8, answer_lost: bool },
    Send { vm: usize, ticket: usize, body: u8 },
    Deliver { relay: usize, again: bool },
    Lose { relay: usize },
    HandOver { running: usize },
    End { running: usize, end: End },
    Restart { vm: usize },
    Greet { from: usize, to: usize },
    Pass { ms: u64 },
}

#[derive(Debug, Clone, Copy)]
enum End {
    Answered,
    Lost,
    Refused,
}

impl sw_fuzz::Step for Step {
    fn any() -> BoxedStrategy<Self> {
        let vm = || 0..VMS;
        let end = prop_oneof![Just(End::Answered), Just(End::Lost), Just(End::Refused)];
        prop_oneof![
            3 => vm().prop_map(|vm| Step::Issue { vm }),
            3 => (vm(), 0..3_u8, any::<bool>()).prop_map(|(vm, key, answer_lost)| Step::Bind { vm, key, answer_lost }),
            9 => (vm(), 0..16_usize, 0..8_u8).prop_map(|(vm, ticket, body)| Step::Send { vm, ticket, body: body / 7 }),
            5 => (0..8_usize, any::<bool>()).prop_map(|(relay, again)| Step::Deliver { relay, again }),
            1 => (0..8_usize).prop_map(|relay| Step::Lose { relay }),
            6 => (0..8_usize).prop_map(|running| Step::HandOver { running }),
            5 => (0..8_usize, end).prop_map(|(running, end)| Step::End { running, end }),
            1 => vm().prop_map(|vm| Step::Restart { vm }),
            4 => (vm(), vm()).prop_map(|(from, to)| Step::Greet { from, to }),
            2 => (1..4_000_u64).prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }
}

/// A request on its way from one VM to another.
#[derive(Debug, Clone)]
struct Relay {
    to: usize,
    ticket: Ticket,
    body: u8,
}

/// A request that its owner has begun.
#[derive(Debug, Clone)]
struct Running {
    vm: usize,
    incarnation: u64,
    ticket: Ticket,
    body: u8,
    handed_over: bool,
}

/// What the oracle knows of a ticket.
#[derive(Debug, Default)]
struct Ledger {
    executions: Vec<u8>,
    answered: Option<u8>,
}

#[derive(Debug)]
struct World {
    gates: Vec<Gate>,
    incarnations: Vec<u64>,
    tickets: Vec<Ticket>,
    bindings: HashMap<u8, Ticket>,
    relays: Vec<Relay>,
    running: Vec<Running>,
    ledger: HashMap<Ticket, Ledger>,
    now: Time,
    next_incarnation: u64,
}

fn workspace() -> WorkspaceId {
    "w".parse().unwrap()
}

fn options() -> sw_once::Options {
    sw_once::Options {
        retention: RETENTION,
        max_response_bytes: Bytes(20),
        max_records: 50,
    }
}

fn answer(body: u8) -> SavedResponse {
    SavedResponse {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: vec![body; 8].into(),
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            gates: (0..VMS).map(|vm| support::gate(vm, 1, options())).collect(),
            incarnations: vec![1; VMS],
            tickets: Vec::new(),
            bindings: HashMap::new(),
            relays: Vec::new(),
            running: Vec::new(),
            ledger: HashMap::new(),
            now: Time(1_000_000),
            next_incarnation: 2,
        };
        for from in 0..VMS {
            (0..VMS).for_each(|to| world.greet(from, to));
        }
        world
    }

    fn issue(&mut self, vm: usize) -> Ticket {
        let ticket = self.gates[vm].issue_tickets(1, self.now).remove(0);
        self.tickets.push(ticket.clone());
        ticket
    }

    /// A create-if-absent in the key-value service; the answer may be lost, and then nothing runs.
    fn bind(&mut self, vm: usize, key: u8, answer_lost: bool) {
        let ticket = self.issue(vm);
        let bound = self.bindings.entry(key).or_insert(ticket).clone();
        if !answer_lost {
            self.send(vm, &bound, key);
        }
    }

    fn send(&mut self, vm: usize, ticket: &Ticket, body: u8) {
        match self.gates[vm].ticket_owner(ticket) {
            TicketOwner::Local => self.begin(vm, ticket, body),
            TicketOwner::Peer(row) => {
                let to = (0..VMS).find(|to| support::row(*to, 1).vm == row.vm).unwrap();
                self.relays.push(Relay {
                    to,
                    ticket: ticket.clone(),
                    body,
                });
            }
            TicketOwner::Gone => {}
        }
    }

    /// What the owner does with a request that reaches it.
    fn begin(&mut self, vm: usize, ticket: &Ticket, body: u8) {
        let begin = self.gates[vm].begin_execution(&workspace(), ticket, Digest([body; 32]), self.now);
        let known = self.ledger.entry(ticket.clone()).or_default();
        match begin {
            BeginOutcome::Run => self.running.push(Running {
                vm,
                incarnation: self.incarnations[vm],
                ticket: ticket.clone(),
                body,
                handed_over: false,
            }),
            BeginOutcome::Replay(kept) => {
                assert_eq!(
                    Some(kept),
                    known.answered.map(answer),
                    "a repeat gets the answer of the execution"
                );
                assert_eq!(known.executions, [body], "and only for the same request");
            }
            BeginOutcome::Refuse(kind) => match kind.answer().ran {
                Ran::No => {
                    let same = known.executions.contains(&body);
                    assert!(
                        !same || kind == Kind::Overloaded && known.answered.is_none(),
                        "{kind} is true"
                    );
                }
                Ran::Yes => assert!(known.executions.contains(&body), "{kind} is true"),
                Ran::Unknown => {}
            },
        }
    }

    /// The wire drops what is meant for an earlier life; a VM that owns the ticket takes it.
    fn deliver(&mut self, relay: usize, again: bool) {
        let relay = if again {
            self.relays[relay].clone()
        } else {
            self.relays.remove(relay)
        };
        if self.gates[relay.to].ticket_owner(&relay.ticket) == TicketOwner::Local {
            self.begin(relay.to, &relay.ticket, relay.body);
        }
    }

    fn hand_over(&mut self, index: usize) {
        let running = &mut self.running[index];
        if !running.handed_over {
            running.handed_over = true;
            self.ledger
                .entry(running.ticket.clone())
                .or_default()
                .executions
                .push(running.body);
        }
    }

    fn end(&mut self, index: usize, end: End) {
        let running = self.running.remove(index);
        let outcome = match (running.handed_over, end) {
            (false, _) => ExecutionOutcome::NotRun,
            (true, End::Answered) => {
                self.ledger.entry(running.ticket.clone()).or_default().answered = Some(running.body);
                ExecutionOutcome::Ran(answer(running.body))
            }
            (true, End::Lost | End::Refused) => ExecutionOutcome::Unknown,
        };
        self.gates[running.vm].complete_execution(&workspace(), &running.ticket, outcome);
    }

    fn restart(&mut self, vm: usize) {
        self.incarnations[vm] = self.next_incarnation;
        self.next_incarnation += 1;
        self.gates[vm] = support::gate(vm, self.incarnations[vm], options());
        self.running.retain(|running| running.vm != vm);
    }

    fn greet(&mut self, from: usize, to: usize) {
        let receiver = self.gates[to].members().local().clone();
        let heartbeat = self.gates[from].heartbeat(Some(&receiver), self.now);
        self.gates[to].on_heartbeat(heartbeat, self.now);
    }

    fn check(&self) {
        for (ticket, ledger) in &self.ledger {
            assert!(
                ledger.executions.len() <= 1,
                "{ticket} ran {} times",
                ledger.executions.len()
            );
        }
        for running in &self.running {
            assert_eq!(running.incarnation, self.incarnations[running.vm]);
            let standing = self.gates[running.vm].ticket_status(&workspace(), &running.ticket);
            assert_eq!(standing, TicketStatus::Running, "{} is being run", running.ticket);
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Independent<Step>;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Issue { vm } => {
                world.issue(vm);
            }
            Step::Bind { vm, key, answer_lost } => world.bind(vm, key, answer_lost),
            Step::Send { vm, ticket, body } if !world.tickets.is_empty() => {
                let ticket = world.tickets[ticket % world.tickets.len()].clone();
                world.send(vm, &ticket, body);
            }
            Step::Deliver { relay, again } if !world.relays.is_empty() => {
                world.deliver(relay % world.relays.len(), again);
            }
            Step::Lose { relay } if !world.relays.is_empty() => {
                world.relays.remove(relay % world.relays.len());
            }
            Step::HandOver { running } if !world.running.is_empty() => world.hand_over(running % world.running.len()),
            Step::End { running, end } if !world.running.is_empty() => world.end(running % world.running.len(), end),
            Step::Restart { vm } => world.restart(vm),
            Step::Greet { from, to } if from != to => world.greet(from, to),
            Step::Pass { ms } => {
                world.now = world.now + Millis(ms);
                let now = world.now;
                world.gates.iter_mut().for_each(|gate| gate.tick(now));
            }
            _ => {}
        }
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn a_ticket_runs_at_most_once(sequential 1..120 => World);
}
