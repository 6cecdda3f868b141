//! Quarantine of requests that crash engines and come again: the rule holds for all VMs together, and sound requests are
//! served.

mod support;

use bytes::Bytes;
use proptest::prelude::*;
use support::fleet::{CopiedRequest, Fleet, Layout, STEP, faults};
use sw_relay::RequestContent;
use sw_unit::{Fingerprint, Millis, Time};

/// Time after the third crash from which on almost no copies may reach engines.
const CONTACT: Millis = Millis(5_000);
/// Number of copies that may reach engines after that time.
const ALLOWED_LATE: usize = 3;
/// Part of prompts that crashes engines.
const CRASHING_PART: u64 = 666;

const CRASHING: CopiedRequest = CopiedRequest {
    id: 7_001,
    subject: 3,
    crashes: true,
    has_head: true,
};
const HEADLESS: CopiedRequest = CopiedRequest {
    id: 7_002,
    subject: 4,
    has_head: false,
    ..CRASHING
};
const SOUND: CopiedRequest = CopiedRequest {
    id: 7_003,
    subject: 3,
    crashes: false,
    ..CRASHING
};

const NINE_VMS: Layout = Layout {
    regions: 3,
    domains_per_region: 1,
    vms: 9,
    engines_per_region: 6,
};

/// What callers send.
#[derive(Debug, Clone, Copy, Default)]
struct Load<'a> {
    /// Different prompts a second.
    per_second: f64,
    /// Share of them with a part that crashes engines.
    part_share: f64,
    /// Requests of which copies are sent in turn, and copies a second.
    copied: &'a [CopiedRequest],
    copies_per_second: f64,
}

/// Sends a load to the VMs at random.
fn play(fleet: &mut Fleet, load: Load<'_>, duration: Millis, rng: &mut fastrand::Rng) {
    let end = fleet.now + duration;
    let (mut owed, mut owed_copies) = (0.0, 0.0);
    while fleet.now < end {
        fleet.step();
        owed += load.per_second * STEP.0 as f64 / 1_000.0;
        while owed >= 1.0 {
            owed -= 1.0;
            let part = Some(CRASHING_PART).filter(|_| rng.f64() < load.part_share);
            fleet.request(rng.usize(..1_000), part, rng.u64(..));
        }
        owed_copies += load.copies_per_second * STEP.0 as f64 / 1_000.0;
        while owed_copies >= 1.0 {
            owed_copies -= 1.0;
            if let Some(copied) = rng.choice(load.copied) {
                fleet.send_copy(rng.usize(..1_000), *copied);
            }
        }
    }
}

fn sound(per_second: f64) -> Load<'static> {
    Load {
        per_second,
        ..Load::default()
    }
}

/// Guards against the incident BUDGET: copies of one request crash engine after engine, with and without a head before the
/// crash, and the parts that the request shares with sound prompts are blamed for it.
#[test]
fn request_is_quarantined_by_all_vms_after_a_few_crashes() {
    for copied in [CRASHING, HEADLESS] {
        let mut rng = fastrand::Rng::with_seed(11);
        let mut fleet = Fleet::new(NINE_VMS);
        play(&mut fleet, sound(60.0), Millis(3_000), &mut rng);
        let load = Load {
            copied: &[copied],
            copies_per_second: 3.0,
            ..sound(60.0)
        };
        play(&mut fleet, load, Millis(30_000), &mut rng);
        let crashes = fleet.crash_count(copied.id);
        assert!((2..=6).contains(&crashes), "{crashes} crashes");
        assert_eq!(fleet.late_copies(copied.id, Millis(1_000)), 0);
        assert_eq!(fleet.quarantined(0), (0, 1));
        let share = fleet.quarantined_share(Time(0));
        assert!(share < 0.01, "{share} of the sound prompts are quarantined");
    }
}

/// Guards against a crashing request that hides behind a crashing part, or the other way round.
#[test]
fn crashing_parts_and_requests_are_found_side_by_side() {
    for seed in 0..4 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(NINE_VMS);
        play(&mut fleet, sound(60.0), Millis(3_000), &mut rng);
        let load = Load {
            part_share: 0.05,
            copied: &[CRASHING, HEADLESS],
            copies_per_second: 2.0,
            ..sound(60.0)
        };
        play(&mut fleet, load, Millis(40_000), &mut rng);
        for copied in [CRASHING, HEADLESS] {
            let late = fleet.late_copies(copied.id, CONTACT);
            assert!(
                late <= ALLOWED_LATE,
                "{late} copies late, {} crashes",
                fleet.crash_count(copied.id)
            );
        }
        let late = fleet.late_arrivals(CRASHING_PART, CONTACT);
        assert!(late <= ALLOWED_LATE, "{late} prompts late");
        let share = fleet.quarantined_share(Time(20_000));
        assert!(share < 0.02, "{share} of the sound prompts are quarantined");
    }
}

/// Guards against a popular request that is refused for long, because its copies ran beside those of a crashing one.
#[test]
fn request_beside_a_crashing_one_is_served() {
    let mut rng = fastrand::Rng::with_seed(12);
    let mut fleet = Fleet::new(NINE_VMS);
    let load = Load {
        copied: &[CRASHING, SOUND, SOUND, SOUND],
        copies_per_second: 12.0,
        ..sound(30.0)
    };
    play(&mut fleet, load, Millis(30_000), &mut rng);
    assert!(fleet.late_copies(CRASHING.id, CONTACT) <= ALLOWED_LATE);
    let share = fleet.quarantined_copies(SOUND.id, Time(0));
    assert!(share < 0.1, "{share} of the copies are quarantined");
    assert!(fleet.quarantined_copies(SOUND.id, Time(10_000)) == 0.0);
}

/// Guards against a sound request that stays quarantined after two engines have crashed under it by chance: one probe
/// clears it.
#[test]
fn request_that_is_suspected_by_chance_is_released_by_a_probe() {
    let mut rng = fastrand::Rng::with_seed(13);
    let mut fleet = Fleet::new(NINE_VMS);
    for vm in [0, 1] {
        fleet.send_copy(vm, SOUND);
        fleet.step();
        fleet.crash_engines_of(SOUND.id);
        play(&mut fleet, sound(0.0), Millis(300), &mut rng);
        fleet.crash_engines_of(SOUND.id);
        play(&mut fleet, sound(0.0), Millis(300), &mut rng);
    }
    assert_eq!(fleet.quarantined(8).1, 1, "it is suspected");
    let load = Load {
        copied: &[SOUND],
        copies_per_second: 2.0,
        ..Load::default()
    };
    play(&mut fleet, load, Millis(80_000), &mut rng);
    let from = fleet.now;
    play(&mut fleet, load, Millis(10_000), &mut rng);
    assert!(fleet.quarantined_copies(SOUND.id, from) == 0.0);
}

/// Guards against copies that are sent again whenever a time of quarantine ends, each by many VMs.
#[test]
fn crashing_request_stays_quarantined_for_as_long_as_it_comes_again() {
    let mut rng = fastrand::Rng::with_seed(14);
    let mut fleet = Fleet::new(NINE_VMS);
    let load = Load {
        copied: &[CRASHING],
        copies_per_second: 3.0,
        ..Load::default()
    };
    play(&mut fleet, load, Millis(1_500_000), &mut rng);
    let late = fleet.late_copies(CRASHING.id, CONTACT);
    assert!(
        late <= ALLOWED_LATE,
        "{late} late, {} crashes",
        fleet.crash_count(CRASHING.id)
    );
}

/// Guards against a probe that crashes an engine and is sent to the next one, as VMs find out only later why it broke off.
#[test]
fn probe_that_broke_off_is_not_sent_again() {
    let mut rng = fastrand::Rng::with_seed(16);
    let mut fleet = Fleet::new(NINE_VMS);
    for vm in 0..NINE_VMS.vms {
        fleet.set_confirm_after(vm, Millis(400));
    }
    for vm in [0, 1] {
        fleet.send_copy(vm, HEADLESS);
        play(&mut fleet, sound(0.0), Millis(3_000), &mut rng);
    }
    let crashes = fleet.crash_count(HEADLESS.id);
    assert_eq!(fleet.quarantined(8).1, 1, "it is suspected after {crashes} crashes");
    play(&mut fleet, sound(0.0), Millis(500_000), &mut rng);
    (0..NINE_VMS.vms).for_each(|vm| fleet.send_copy(vm, HEADLESS));
    play(&mut fleet, sound(0.0), Millis(3_000), &mut rng);
    assert_eq!(fleet.crash_count(HEADLESS.id) - crashes, 1);
}

/// Guards against suspects that are lost where another VM reports the crash before this one finds out about it.
#[test]
fn suspects_of_all_vms_count_whichever_reports_the_crash_first() {
    let mut rng = fastrand::Rng::with_seed(17);
    let mut fleet = Fleet::new(Layout {
        regions: 1,
        domains_per_region: 1,
        vms: 2,
        engines_per_region: 1,
    });
    fleet.set_confirm_after(0, Millis(600));
    for _ in 0..2 {
        fleet.request(1, None, rng.u64(..));
        fleet.send_copy(0, HEADLESS);
        play(&mut fleet, sound(0.0), Millis(12_000), &mut rng);
    }
    assert_eq!(fleet.crash_count(HEADLESS.id), 2);
    for vm in [0, 1] {
        assert_eq!(fleet.quarantined(vm), (0, 1), "VM {vm}");
    }
}

/// Guards against a VM that has just started, or was cut off, and sends what the others quarantined.
#[test]
fn vm_that_started_or_was_cut_off_learns_which_requests_are_quarantined() {
    let mut rng = fastrand::Rng::with_seed(15);
    let mut fleet = Fleet::new(NINE_VMS);
    fleet.set_group(4, 1);
    fleet.set_running(7, false);
    let load = Load {
        copied: &[HEADLESS],
        copies_per_second: 4.0,
        ..sound(40.0)
    };
    play(&mut fleet, load, Millis(6_000), &mut rng);
    fleet.heal();
    play(&mut fleet, sound(40.0), Millis(3_000), &mut rng);
    let before = fleet
        .arrivals
        .iter()
        .filter(|arrival| arrival.crashing.is_some())
        .count();
    fleet.send_copy(4, HEADLESS);
    fleet.send_copy(7, HEADLESS);
    let after = fleet
        .arrivals
        .iter()
        .filter(|arrival| arrival.crashing.is_some())
        .count();
    assert_eq!(after, before);
}

/// Guards against memory that grows with the different requests that callers send.
#[test]
fn any_number_of_requests_and_crashes_is_borne() {
    let mut fleet = Fleet::new(Layout {
        vms: 2,
        regions: 1,
        ..NINE_VMS
    });
    for id in 0..600 {
        fleet.request(0, None, id);
        let copied = CopiedRequest {
            id: 10_000 + id,
            ..HEADLESS
        };
        fleet.send_copy(0, copied);
        for _ in 0..30 {
            fleet.step();
        }
    }
    assert!(fleet.crashes.len() > 64, "{} crashes", fleet.crashes.len());
    assert!(fleet.reported_crashes(0) <= 64);
    assert_eq!(fleet.report_suspects(0, 500), 96);
}

/// Guards against a fingerprint that differs between builds or architectures, or does not tell fields apart.
#[test]
fn fingerprint_is_the_same_everywhere_and_depends_on_each_field() {
    let of = |fields: &[&'static str]| {
        let fields = fields.iter().map(|field| Bytes::from_static(field.as_bytes()));
        RequestContent::new(fields.collect()).fingerprint()
    };
    let known = of(&["POST", "/read/x?page=1", "body"]);
    assert_eq!(known.to_string(), "439b04b9d75491eccfcc444a3471ca55");
    assert_eq!(known.to_string().parse::<Fingerprint>(), Ok(known));
    assert_ne!(known, of(&["POST", "/read/x?page=1b", "ody"]));
    assert_ne!(known, of(&["POST", "/read/x?page=1", "body", ""]));
    assert!("+0000000000000000000000000000001".parse::<Fingerprint>().is_err());
}

proptest! {
    #![proptest_config(sw_fuzz::config())]

    /// For any faults, the figures hold for crashing requests and parts, and almost all sound prompts may be served.
    #[test]
    fn rule_holds_for_requests_under_faults(
        seed in any::<u64>(),
        regions in 1..4_usize,
        domains_per_region in 1..3_usize,
        vms in 2..14_usize,
        part_share in prop_oneof![Just(0.0), 0.01..0.2],
        copies_per_second in 0.5..8.0,
        faults in proptest::collection::vec((0..3_000_u64, faults::fault()), 0..10),
    ) {
        let layout = Layout { regions, domains_per_region, vms, engines_per_region: 6 };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(layout);
        play(&mut fleet, sound(40.0), Millis(2_000), &mut rng);
        let load = Load { part_share, copied: &[CRASHING, HEADLESS, SOUND], copies_per_second, ..sound(40.0) };
        for (pause, fault) in &faults {
            faults::inject(&mut fleet, fault, vms);
            play(&mut fleet, load, Millis(*pause), &mut rng);
        }
        fleet.heal();
        play(&mut fleet, load, Millis(14_000), &mut rng);
        for copied in [CRASHING, HEADLESS] {
            let late = fleet.late_copies(copied.id, CONTACT);
            prop_assert!(late <= ALLOWED_LATE, "{late} copies of {} late", copied.id);
        }
        let late = fleet.late_arrivals(CRASHING_PART, CONTACT);
        prop_assert!(late <= ALLOWED_LATE, "{late} prompts late");
        let quarantined = fleet.quarantined_share(fleet.now - Millis(4_000));
        prop_assert!(quarantined < 0.1, "{quarantined} of the sound prompts are quarantined");
    }
}
