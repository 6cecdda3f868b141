//! Stateful fuzz of membership against a list of what was heard.

use std::collections::HashMap;

use proptest::prelude::*;
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use sw_fuzz::{Independent, config};
use sw_member::{Members, Options, VmRow, VmState};
use sw_unit::{Incarnation, Millis, Time, Version};

const VMS: usize = 5;
/// Three heartbeats, which come once a second in a domain of this size.
const SUSPECT_AFTER: Millis = Millis(3_000);

#[derive(Debug, Clone)]
enum Step {
    Heard { vm: usize, incarnation: u64, leaving: bool },
    Learned { vm: usize, incarnation: u64, leaving: bool },
    Pass { ms: u64 },
}

impl sw_fuzz::Step for Step {
    fn any() -> BoxedStrategy<Self> {
        let row = || (1..VMS, 1..5_u64, prop::bool::weighted(0.2));
        prop_oneof![
            4 => row().prop_map(|(vm, incarnation, leaving)| Step::Heard { vm, incarnation, leaving }),
            2 => row().prop_map(|(vm, incarnation, leaving)| Step::Learned { vm, incarnation, leaving }),
            3 => (1..2_500_u64).prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }
}

/// What the oracle knows of a VM: its newest life, whether that is leaving, and when it was heard itself.
#[derive(Debug, Clone, Copy)]
struct Known {
    incarnation: u64,
    leaving: bool,
    heard: Option<Time>,
}

#[derive(Debug)]
struct World {
    members: Members,
    known: HashMap<usize, Known>,
    now: Time,
}

fn row(vm: usize, incarnation: u64, leaving: bool) -> VmRow {
    VmRow {
        vm: format!("vm-{vm}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: "d".parse().unwrap(),
        region: "r".parse().unwrap(),
        listen: "127.0.0.1:1".parse().unwrap(),
        peer_listen: format!("127.0.0.1:{}", 100 + vm).parse().unwrap(),
        leaving,
        version: Version(1),
    }
}

impl World {
    fn record(&mut self, vm: usize, incarnation: u64, leaving: bool, heard: Option<Time>) {
        let known = self.known.entry(vm).or_insert(Known {
            incarnation,
            leaving,
            heard,
        });
        if incarnation > known.incarnation {
            *known = Known {
                incarnation,
                leaving,
                heard,
            };
        } else if incarnation == known.incarnation {
            known.leaving |= leaving;
            known.heard = heard.or(known.heard);
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Independent<Step>;

    fn init_test((): &()) -> Self {
        let members = Members::new(row(0, 1, false), Options::default());
        Self {
            members,
            known: HashMap::new(),
            now: Time(100_000),
        }
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Heard {
                vm,
                incarnation,
                leaving,
            } => {
                world.members.on_heartbeat(row(vm, incarnation, leaving), world.now);
                world.record(vm, incarnation, leaving, Some(world.now));
            }
            Step::Learned {
                vm,
                incarnation,
                leaving,
            } => {
                world.members.on_gossip(row(vm, incarnation, leaving), world.now);
                world.record(vm, incarnation, leaving, None);
            }
            Step::Pass { ms } => world.now = world.now + Millis(ms),
        }
        world
    }

    fn check_invariants(world: &Self, (): &()) {
        for (vm, known) in &world.known {
            let id = row(*vm, 1, false).vm;
            let is_live = known.heard.is_some_and(|heard| world.now.since(heard) < SUSPECT_AFTER);
            let expected = match (known.leaving, is_live) {
                (true, _) => VmState::Leaving,
                (false, true) => VmState::Live,
                (false, false) => VmState::Suspect,
            };
            assert_eq!(world.members.state(&id, world.now), Some(expected), "{id}: {known:?}");
            assert_eq!(
                world.members.row(&id).unwrap().incarnation,
                Incarnation(known.incarnation)
            );
        }
        let live = world.members.live_vms(&world.members.local().domain, world.now).count();
        assert!(live >= 1, "a VM that hears nobody still counts itself");
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn members_are_seen_as_they_were_heard(sequential 1..100 => World);
}
