//! Faults that properties inject at random.

use proptest::prelude::*;

use super::Fleet;

/// A fault of VMs or engines.
#[derive(Debug, Clone)]
pub enum Fault {
    KillVm(usize),
    KillAll,
    CutOff(Vec<usize>),
    CrashEngine(usize),
    CrashRegion(usize),
    Heal,
}

/// Generates a fault.
pub fn fault() -> impl Strategy<Value = Fault> {
    let index = 0..64_usize;
    prop_oneof![
        3 => index.clone().prop_map(Fault::KillVm),
        1 => Just(Fault::KillAll),
        2 => proptest::collection::vec(index.clone(), 1..6).prop_map(Fault::CutOff),
        3 => index.clone().prop_map(Fault::CrashEngine),
        1 => index.prop_map(Fault::CrashRegion),
        3 => Just(Fault::Heal),
    ]
}

/// Injects a fault into a fleet of `vms` VMs.
pub fn inject(fleet: &mut Fleet, fault: &Fault, vms: usize) {
    match fault {
        Fault::KillVm(vm) => fleet.set_running(*vm, false),
        Fault::KillAll => {
            (0..vms).for_each(|vm| fleet.set_running(vm, false));
            fleet.heal();
        }
        Fault::CutOff(cut_off) => cut_off.iter().for_each(|vm| fleet.set_group(*vm, 1)),
        Fault::CrashEngine(engine) => fleet.crash_engine(*engine),
        Fault::CrashRegion(region) => fleet.crash_region(*region),
        Fault::Heal => fleet.heal(),
    }
}
