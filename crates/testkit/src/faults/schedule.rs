//! Draws a schedule of faults from a seed.

use std::{fmt, time::Duration};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::FaultAction;
use crate::standin::backend::Fault;

/// The kinds of fault that are drawn from.
const KINDS: u32 = 13;
/// The faults that strike single requests.
const STRIKES: [Fault; 5] = [
    Fault::DropBefore,
    Fault::DropAfter,
    Fault::Crossed,
    Fault::WrongVersion,
    Fault::Garbage,
];

/// What a schedule is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct FaultSettings {
    /// The seed.
    pub seed: u64,
    /// How long faults are brought about.
    pub duration: Duration,
    /// The time between the beginnings of two faults, at most.
    pub gap: Duration,
    /// The longest time until a fault is mended.
    pub longest: Duration,
    /// The VMs of the fleet.
    pub vms: usize,
    /// The backend servers of the search service.
    pub servers: usize,
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When it begins, from the start.
    pub begin: Duration,
    /// When it is mended, from the start.
    pub end: Duration,
    /// The fault.
    pub action: FaultAction,
}

/// Faults in the order in which they begin.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The faults.
    pub steps: Vec<Step>,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(6),
            gap: Duration::from_millis(800),
            longest: Duration::from_secs(2),
            vms: 3,
            servers: 4,
        }
    }
}

impl Schedule {
    /// Draws a schedule; the same settings give the same one.
    #[must_use]
    pub fn draw(settings: &FaultSettings) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut steps = Vec::<Step>::new();
        let mut begin = Duration::ZERO;
        loop {
            begin += settings.gap.mul_f64(rng.random::<f64>());
            if begin >= settings.duration {
                return Self { steps };
            }
            let end = begin + settings.longest.mul_f64(rng.random::<f64>());
            let action = draw_action(settings, &mut rng);
            if is_allowed(settings, &steps, begin, action) {
                steps.push(Step { begin, end, action });
            }
        }
    }
}

/// Returns whether a fault strikes nothing that another strikes, and leaves one VM whole.
fn is_allowed(
    settings: &FaultSettings,
    steps: &[Step],
    begin: Duration,
    action: FaultAction,
) -> bool {
    let open = || steps.iter().filter(|step| step.end >= begin);
    let (kind, _) = action.target();
    let struck_vms = open().filter(|step| step.action.target().0 == "vm").count();
    let leaves_one = kind != "vm" || struck_vms + 1 < settings.vms;
    leaves_one && open().all(|step| step.action.target() != action.target())
}

fn draw_action(settings: &FaultSettings, rng: &mut ChaCha8Rng) -> FaultAction {
    let vm = rng.random_range(0..settings.vms);
    let server = rng.random_range(0..settings.servers);
    let strike = STRIKES[rng.random_range(0..STRIKES.len())];
    match rng.random_range(0..KINDS) {
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
        _ => FaultAction::Strike(server, strike),
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let (begin, end) = (step.begin.as_millis(), step.end.as_millis());
            writeln!(f, "  {begin:>6} ms to {end:>6} ms: {:?}", step.action)?;
        }
        Ok(())
    }
}
