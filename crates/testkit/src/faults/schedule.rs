//! Generates a schedule of faults from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::FaultAction;
use crate::standin::backend::Fault;

/// The number of kinds of fault to choose from.
const FAULT_KINDS: u32 = 13;
/// The faults of single requests to choose from.
const REQUEST_FAULTS: [Fault; 5] = [
    Fault::DropBefore,
    Fault::DropAfter,
    Fault::Crossed,
    Fault::WrongVersion,
    Fault::Garbage,
];

/// The settings of a schedule and its fleet.
#[derive(Clone, Copy, Debug)]
pub struct FaultSettings {
    /// The seed of the generator.
    pub seed: u64,
    /// The period in which faults start.
    pub duration: Duration,
    /// The longest time between the starts of two faults.
    pub max_gap: Duration,
    /// The longest time until a fault is reverted.
    pub max_duration: Duration,
    /// The number of VMs of the fleet.
    pub vms: usize,
    /// The number of backend servers of the search service.
    pub servers: usize,
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When the fault is injected, from the start of the schedule.
    pub start: Duration,
    /// When the fault is reverted, from the start of the schedule.
    pub end: Duration,
    /// The fault.
    pub action: FaultAction,
}

/// A schedule of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The faults in the order in which they start.
    pub faults: Vec<ScheduledFault>,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(6),
            max_gap: Duration::from_millis(800),
            max_duration: Duration::from_secs(2),
            vms: 3,
            servers: 4,
        }
    }
}

impl Schedule {
    /// Generates a schedule; the same settings generate the same one.
    #[must_use]
    pub fn generate(settings: &FaultSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut faults = Vec::<ScheduledFault>::new();
        let mut start = Duration::ZERO;
        loop {
            start += settings.max_gap.mul_f64(rng.random::<f64>());
            if start >= settings.duration {
                return Self { faults };
            }
            let end = start + settings.max_duration.mul_f64(rng.random::<f64>());
            let action = random_action(settings, &mut rng);
            if is_allowed(settings, &faults, start, action) {
                faults.push(ScheduledFault { start, end, action });
            }
        }
    }
}

/// Returns whether a fault's target has no other fault at the time and one VM stays without fault.
fn is_allowed(
    settings: &FaultSettings,
    faults: &[ScheduledFault],
    start: Duration,
    action: FaultAction,
) -> bool {
    let active = || faults.iter().filter(|fault| fault.end >= start);
    let (kind, _) = action.target();
    let affected_vms = active()
        .filter(|fault| fault.action.target().0 == "vm")
        .count();
    let keeps_one_vm = kind != "vm" || affected_vms + 1 < settings.vms;
    keeps_one_vm && active().all(|fault| fault.action.target() != action.target())
}

fn random_action(settings: &FaultSettings, rng: &mut ChaCha8Rng) -> FaultAction {
    let vm = rng.random_range(0..settings.vms);
    let server = rng.random_range(0..settings.servers);
    let request_fault = REQUEST_FAULTS[rng.random_range(0..REQUEST_FAULTS.len())];
    match rng.random_range(0..FAULT_KINDS) {
        0 => FaultAction::Kill(vm),
        1 => FaultAction::Freeze(vm),
        2 => FaultAction::Stop(vm),
        3 => FaultAction::ConfigDown,
        4 => FaultAction::ConfigHang,
        5 => FaultAction::ConfigStale,
        6 => FaultAction::Presets,
        7 => FaultAction::Version,
        8 => FaultAction::Straggler(server),
        9 => FaultAction::Hang(server),
        10 => FaultAction::Leave(server),
        11 => FaultAction::Liar(server),
        _ => FaultAction::Strike(server, request_fault),
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            let (start, end) = (fault.start.as_millis(), fault.end.as_millis());
            writeln!(f, "  {start:>6} ms to {end:>6} ms: {:?}", fault.action)?;
        }
        Ok(())
    }
}
