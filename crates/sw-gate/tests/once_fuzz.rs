//! Stateful fuzz test of at-most-once execution, with the gates of several VMs.
//!
//! Guards against a second execution of a ticket and against refusals that are wrong about whether a request ran. VMs
//! crash and restart, requests and responses between them are lost, delayed or duplicated, bindings of idempotency keys
//! lose their responses, time passes, and tickets expire. The oracle counts the executions of each ticket.

mod support;

use std::collections::HashMap;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use sw_error::{Kind, Ran};
use sw_fuzz::{IndependentSteps, config};
use sw_gate::{Gate, TicketOwner};
use sw_once::{BeginOutcome, ExecutionOutcome, SavedResponse, Ticket, TicketStatus};
use sw_unit::{Bytes, Digest, Millis, Time, WorkspaceId};

const VMS: usize = 4;
const RETENTION: Millis = Millis(10_000);

/// A step; an index selects one of the existing items, modulo their number.
#[derive(Debug, Clone)]
enum Step {
    Issue { vm: usize },
    Bind { vm: usize, key: u8, response_lost: bool },
    Send { vm: usize, ticket: usize, body: u8 },
    Deliver { forward: usize, duplicate: bool },
    Lose { forward: usize },
    Dispatch { running: usize },
    End { running: usize, end: End },
    Restart { vm: usize },
    Heartbeat { from: usize, to: usize },
    Advance { ms: u64 },
}

#[derive(Debug, Clone, Copy)]
enum End {
    Complete,
    Lost,
    Rejected,
}

impl sw_fuzz::Step for Step {
    fn any() -> BoxedStrategy<Self> {
        let vm = || 0..VMS;
        let end = prop_oneof![Just(End::Complete), Just(End::Lost), Just(End::Rejected)];
        prop_oneof![
            3 => vm().prop_map(|vm| Step::Issue { vm }),
            3 => (vm(), 0..3_u8, any::<bool>()).prop_map(|(vm, key, response_lost)| Step::Bind { vm, key, response_lost }),
            9 => (vm(), 0..16_usize, 0..8_u8).prop_map(|(vm, ticket, body)| Step::Send { vm, ticket, body: body / 7 }),
            5 => (0..8_usize, any::<bool>()).prop_map(|(forward, duplicate)| Step::Deliver { forward, duplicate }),
            1 => (0..8_usize).prop_map(|forward| Step::Lose { forward }),
            6 => (0..8_usize).prop_map(|running| Step::Dispatch { running }),
            5 => (0..8_usize, end).prop_map(|(running, end)| Step::End { running, end }),
            1 => vm().prop_map(|vm| Step::Restart { vm }),
            4 => (vm(), vm()).prop_map(|(from, to)| Step::Heartbeat { from, to }),
            2 => (1..4_000_u64).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }
}

/// A request that is being forwarded to a VM.
#[derive(Debug, Clone)]
struct Forward {
    to: usize,
    ticket: Ticket,
    body: u8,
}

/// A request that the owner of its ticket has begun.
#[derive(Debug, Clone)]
struct Running {
    vm: usize,
    incarnation: u64,
    ticket: Ticket,
    body: u8,
    dispatched: bool,
}

/// The oracle's record of a ticket: the bodies that were executed, and the body whose response arrived.
#[derive(Debug, Default)]
struct Ledger {
    executions: Vec<u8>,
    response: Option<u8>,
}

#[derive(Debug)]
struct World {
    gates: Vec<Gate>,
    incarnations: Vec<u64>,
    tickets: Vec<Ticket>,
    bindings: HashMap<u8, Ticket>,
    forwards: Vec<Forward>,
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

fn response(body: u8) -> SavedResponse {
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
            forwards: Vec::new(),
            running: Vec::new(),
            ledger: HashMap::new(),
            now: Time(1_000_000),
            next_incarnation: 2,
        };
        for from in 0..VMS {
            (0..VMS).for_each(|to| world.send_heartbeat(from, to));
        }
        world
    }

    fn issue(&mut self, vm: usize) -> Ticket {
        let ticket = self.gates[vm].issue_tickets(1, self.now).remove(0);
        self.tickets.push(ticket.clone());
        ticket
    }

    /// Binds a key by a create-if-absent in the key-value store; if the response is lost, nothing runs.
    fn bind(&mut self, vm: usize, key: u8, response_lost: bool) {
        let ticket = self.issue(vm);
        let bound = self.bindings.entry(key).or_insert(ticket).clone();
        if !response_lost {
            self.send(vm, &bound, key);
        }
    }

    fn send(&mut self, vm: usize, ticket: &Ticket, body: u8) {
        match self.gates[vm].ticket_owner(ticket) {
            TicketOwner::Local => self.begin(vm, ticket, body),
            TicketOwner::Peer(row) => {
                let to = (0..VMS).find(|to| support::row(*to, 1).vm == row.vm).unwrap();
                self.forwards.push(Forward {
                    to,
                    ticket: ticket.clone(),
                    body,
                });
            }
            TicketOwner::Gone => {}
        }
    }

    /// Begins a request at the owner of its ticket.
    fn begin(&mut self, vm: usize, ticket: &Ticket, body: u8) {
        let outcome = self.gates[vm].begin_execution(&workspace(), ticket, Digest([body; 32]), self.now);
        let known = self.ledger.entry(ticket.clone()).or_default();
        match outcome {
            BeginOutcome::Run => self.running.push(Running {
                vm,
                incarnation: self.incarnations[vm],
                ticket: ticket.clone(),
                body,
                dispatched: false,
            }),
            BeginOutcome::Replay(saved) => {
                assert_eq!(
                    Some(saved),
                    known.response.map(response),
                    "a repeat gets the response of the execution"
                );
                assert_eq!(known.executions, [body], "and only for the same request");
            }
            BeginOutcome::Refuse(kind) => match kind.response().ran {
                Ran::No => {
                    let same = known.executions.contains(&body);
                    assert!(
                        !same || kind == Kind::Overloaded && known.response.is_none(),
                        "{kind} is right about whether the request ran"
                    );
                }
                Ran::Yes => assert!(
                    known.executions.contains(&body),
                    "{kind} is right about whether the request ran"
                ),
                Ran::Unknown => {}
            },
        }
    }

    /// Delivers a forwarded request, which is dropped if the receiver restarted and no longer owns the ticket.
    fn deliver(&mut self, forward: usize, duplicate: bool) {
        let forward = if duplicate {
            self.forwards[forward].clone()
        } else {
            self.forwards.remove(forward)
        };
        if self.gates[forward.to].ticket_owner(&forward.ticket) == TicketOwner::Local {
            self.begin(forward.to, &forward.ticket, forward.body);
        }
    }

    fn dispatch(&mut self, index: usize) {
        let running = &mut self.running[index];
        if !running.dispatched {
            running.dispatched = true;
            self.ledger
                .entry(running.ticket.clone())
                .or_default()
                .executions
                .push(running.body);
        }
    }

    fn end(&mut self, index: usize, end: End) {
        let running = self.running.remove(index);
        let outcome = match (running.dispatched, end) {
            (false, _) => ExecutionOutcome::NotRun,
            (true, End::Complete) => {
                self.ledger.entry(running.ticket.clone()).or_default().response = Some(running.body);
                ExecutionOutcome::Ran(response(running.body))
            }
            (true, End::Lost | End::Rejected) => ExecutionOutcome::Unknown,
        };
        self.gates[running.vm].complete_execution(&workspace(), &running.ticket, outcome);
    }

    fn restart(&mut self, vm: usize) {
        self.incarnations[vm] = self.next_incarnation;
        self.next_incarnation += 1;
        self.gates[vm] = support::gate(vm, self.incarnations[vm], options());
        self.running.retain(|running| running.vm != vm);
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
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
            let status = self.gates[running.vm].ticket_status(&workspace(), &running.ticket);
            assert_eq!(status, TicketStatus::Running, "{} is running", running.ticket);
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = IndependentSteps<Step>;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Issue { vm } => {
                world.issue(vm);
            }
            Step::Bind { vm, key, response_lost } => world.bind(vm, key, response_lost),
            Step::Send { vm, ticket, body } if !world.tickets.is_empty() => {
                let ticket = world.tickets[ticket % world.tickets.len()].clone();
                world.send(vm, &ticket, body);
            }
            Step::Deliver { forward, duplicate } if !world.forwards.is_empty() => {
                world.deliver(forward % world.forwards.len(), duplicate);
            }
            Step::Lose { forward } if !world.forwards.is_empty() => {
                world.forwards.remove(forward % world.forwards.len());
            }
            Step::Dispatch { running } if !world.running.is_empty() => world.dispatch(running % world.running.len()),
            Step::End { running, end } if !world.running.is_empty() => world.end(running % world.running.len(), end),
            Step::Restart { vm } => world.restart(vm),
            Step::Heartbeat { from, to } if from != to => world.send_heartbeat(from, to),
            Step::Advance { ms } => {
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
