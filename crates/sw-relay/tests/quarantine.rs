//! Quarantine of prompt parts that crash engines: the rule holds for all VMs together, and sound prompts are served.

mod support;

use proptest::prelude::*;
use support::fleet::{Fleet, Layout, STEP, faults};
use sw_unit::{Millis, Time};

/// Time after the fifth crash from which on almost no prompts with the part may reach engines.
const CONTACT: Millis = Millis(5_000);
/// Number of prompts that may reach engines after that time.
const ALLOWED_LATE: usize = 3;
const CRASHING_PART: u64 = 666;

const NINE_VMS: Layout = Layout {
    regions: 3,
    domains_per_region: 1,
    vms: 9,
    engines_per_region: 6,
};

/// Sends `per_second` prompts a second to the VMs at random, a share of which has one of the `crashing` parts.
fn load(fleet: &mut Fleet, per_second: f64, crashing: &[u64], share: f64, duration: Millis, rng: &mut fastrand::Rng) {
    let end = fleet.now + duration;
    let mut owed = 0.0;
    while fleet.now < end {
        fleet.step();
        owed += per_second * STEP.0 as f64 / 1_000.0;
        while owed >= 1.0 {
            owed -= 1.0;
            let part = rng.choice(crashing).copied().filter(|_| rng.f64() < share);
            fleet.request(rng.usize(..1_000), part, rng.u64(..));
        }
    }
}

/// Guards against the incident BUDGET: one prompt in twenty crashes the engine that answers it, on nine VMs in three regions.
#[test]
fn crashing_part_is_quarantined_by_all_vms_after_a_few_crashes() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut fleet = Fleet::new(NINE_VMS);
    load(&mut fleet, 60.0, &[], 0.0, Millis(3_000), &mut rng);
    load(&mut fleet, 60.0, &[CRASHING_PART], 0.05, Millis(20_000), &mut rng);
    assert!(
        fleet.crash_count(CRASHING_PART) <= 6,
        "{} crashes",
        fleet.crash_count(CRASHING_PART)
    );
    assert!(fleet.late_arrivals(CRASHING_PART, Millis(1_000)) == 0);
    let share = fleet.quarantined_share(Time(8_000));
    assert!(share < 0.01, "{share} of the sound prompts are quarantined");
}

/// Guards against a part that is never quarantined because the engines that it crashes send events of the response before, so
/// that prompts with it crash engine after engine.
#[test]
fn part_that_crashes_engines_after_the_first_event_is_quarantined() {
    for crash_after in [Millis(10), Millis(30), Millis(60), Millis(90)] {
        let mut rng = fastrand::Rng::with_seed(8);
        let mut fleet = Fleet::new(NINE_VMS);
        fleet.set_crash_after_first_event(crash_after);
        load(&mut fleet, 60.0, &[], 0.0, Millis(3_000), &mut rng);
        load(&mut fleet, 60.0, &[CRASHING_PART], 0.05, Millis(30_000), &mut rng);
        let crashes = fleet.crash_count(CRASHING_PART);
        let late = fleet.late_arrivals(CRASHING_PART, CONTACT);
        assert!(
            late <= ALLOWED_LATE,
            "{late} prompts late, {crashes} crashes, {crash_after} ms after the first event"
        );
        let share = fleet.quarantined_share(Time(13_000));
        assert!(share < 0.01, "{share} of the sound prompts are quarantined");
    }
}

/// Guards against the review's case 3: responses that end with their connections cleared no part, so the first part of all prompts
/// stayed quarantined beside a crashing one.
#[test]
fn parts_are_cleared_by_engines_that_live_on_though_responses_have_no_length() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut fleet = Fleet::new(NINE_VMS);
    fleet.set_unframed(Millis(1_500));
    load(&mut fleet, 60.0, &[], 0.0, Millis(3_000), &mut rng);
    load(&mut fleet, 60.0, &[CRASHING_PART], 0.05, Millis(30_000), &mut rng);
    assert!(fleet.late_arrivals(CRASHING_PART, CONTACT) <= ALLOWED_LATE);
    let share = fleet.quarantined_share(Time(13_000));
    assert!(share < 0.01, "{share} of the sound prompts are quarantined");
}

/// Guards against a second crashing part that goes unnoticed beside the first one, at the same time or later.
#[test]
fn each_of_several_crashing_parts_is_found() {
    for parts in [[666, 667], [666, 668]] {
        let mut rng = fastrand::Rng::with_seed(2);
        let mut fleet = Fleet::new(NINE_VMS);
        load(&mut fleet, 60.0, &[], 0.0, Millis(3_000), &mut rng);
        load(&mut fleet, 60.0, &parts[..1], 0.05, Millis(6_000), &mut rng);
        load(&mut fleet, 60.0, &parts, 0.1, Millis(20_000), &mut rng);
        for part in parts {
            let crashes = fleet.crash_count(part);
            assert!((2..=8).contains(&crashes), "{part}: {crashes} crashes");
        }
        let share = fleet.quarantined_share(Time(15_000));
        assert!(share < 0.01, "{share} of the sound prompts are quarantined");
    }
}

/// Guards against prompts that are quarantined because engines crash for another reason, one by one or a region at once.
#[test]
fn crashes_without_a_crashing_part_quarantine_nothing() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut fleet = Fleet::new(NINE_VMS);
    for round in 0..20 {
        load(&mut fleet, 120.0, &[], 0.0, Millis(700), &mut rng);
        if round % 5 == 0 {
            fleet.crash_region(rng.usize(..3));
        } else {
            fleet.crash_engine(rng.usize(..100));
        }
    }
    let share = fleet.quarantined_share(Time(0));
    assert!(share < 0.005, "{share} of the prompts were quarantined");
}

/// Guards against VMs of which each sees some of the crashes only, so that none has enough evidence by itself.
#[test]
fn evidence_adds_up_over_vms_and_regions() {
    let mut fleet = Fleet::new(NINE_VMS);
    for second in 0..3 {
        fleet.request(second, Some(CRASHING_PART), 0);
        for _ in 0..200 {
            fleet.step();
        }
    }
    let before = fleet.arrivals.len();
    for vm in 0..9 {
        fleet.request(vm, Some(CRASHING_PART), 0);
    }
    assert_eq!(fleet.arrivals.len(), before, "each VM knows");
}

/// Guards against a VM that has just started, or was cut off, and sends what the others quarantined.
#[test]
fn vm_that_started_or_was_cut_off_learns_what_is_quarantined() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut fleet = Fleet::new(NINE_VMS);
    fleet.set_group(4, 1);
    fleet.set_running(7, false);
    load(&mut fleet, 40.0, &[CRASHING_PART], 0.1, Millis(6_000), &mut rng);
    fleet.heal();
    for _ in 0..300 {
        fleet.step();
    }
    let before = fleet.arrivals.len();
    fleet.request(4, Some(CRASHING_PART), 0);
    fleet.request(7, Some(CRASHING_PART), 0);
    assert_eq!(fleet.arrivals.len(), before);
}

/// Guards against a sound part that stays quarantined because it was in the same prompts as the crashing one: a complete response
/// to another prompt clears it.
#[test]
fn part_beside_a_crashing_one_is_released_by_a_complete_response() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut fleet = Fleet::new(NINE_VMS);
    for _ in 0..3 {
        fleet.request(0, Some(CRASHING_PART), 5);
        for _ in 0..100 {
            fleet.step();
        }
    }
    load(&mut fleet, 60.0, &[], 0.0, Millis(130_000), &mut rng);
    let share = fleet.quarantined_share(Time(125_000));
    assert!(share == 0.0, "{share} of the sound prompts are quarantined");
}

/// Guards against a part that stays quarantined although an operator has exempted it.
#[test]
fn exempt_part_is_released_and_not_quarantined_again() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut fleet = Fleet::new(NINE_VMS);
    load(&mut fleet, 60.0, &[], 0.0, Millis(3_000), &mut rng);
    for _ in 0..2 {
        fleet.request(0, Some(CRASHING_PART), 0);
        for _ in 0..300 {
            fleet.step();
        }
    }
    let arrivals = |fleet: &mut Fleet| {
        let before = fleet.arrivals.len();
        fleet.request(0, Some(CRASHING_PART), 0);
        fleet.arrivals.len() - before
    };
    assert_eq!(arrivals(&mut fleet), 0);
    fleet.exempt(0, CRASHING_PART);
    assert_eq!(arrivals(&mut fleet), 1);
}

/// Guards against memory that grows with what callers send.
#[test]
fn any_number_of_parts_and_crashes_is_borne() {
    let mut fleet = Fleet::new(Layout {
        vms: 2,
        regions: 1,
        ..NINE_VMS
    });
    for part in 0..800 {
        fleet.request(0, None, part);
        fleet.request(0, Some(10_000 + part), part);
        for _ in 0..30 {
            fleet.step();
        }
    }
    assert!(fleet.crashes.len() > 64, "{} crashes", fleet.crashes.len());
    assert!(fleet.reported_crashes(0) <= 64);
}

proptest! {
    #![proptest_config(sw_fuzz::config())]

    /// For any faults, the rule's figure holds for the crashing part, and almost all sound prompts may be served.
    #[test]
    fn rule_holds_under_faults(
        seed in any::<u64>(),
        regions in 1..4_usize,
        domains_per_region in 1..3_usize,
        vms in 2..14_usize,
        share in 0.01..0.3,
        faults in proptest::collection::vec((0..3_000_u64, faults::fault()), 0..10),
    ) {
        let layout = Layout { regions, domains_per_region, vms, engines_per_region: 6 };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(layout);
        load(&mut fleet, 40.0, &[], 0.0, Millis(2_000), &mut rng);
        for (pause, fault) in &faults {
            faults::inject(&mut fleet, fault, vms);
            load(&mut fleet, 40.0, &[CRASHING_PART], share, Millis(*pause), &mut rng);
        }
        fleet.heal();
        load(&mut fleet, 40.0, &[CRASHING_PART], share, Millis(12_000), &mut rng);
        let late = fleet.late_arrivals(CRASHING_PART, CONTACT);
        prop_assert!(late <= ALLOWED_LATE, "{late} of {} arrivals late", fleet.arrivals.len());
        let quarantined = fleet.quarantined_share(fleet.now - Millis(4_000));
        prop_assert!(quarantined < 0.1, "{quarantined} of the sound prompts are quarantined");
    }
}
