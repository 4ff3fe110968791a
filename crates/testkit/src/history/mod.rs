//! Histories of what callers, backend servers and the harness observed, and a checker for them.
//!
//! The one checker decides whether all invariants held; each file checks a group of rules.

mod answers;
mod config_order;
mod in_flight;
mod jobs;
mod leaving;
mod record;
mod refusals;
mod violation;

pub use record::{
    Call, CallEnd, CallRecord, Disturbance, DisturbanceTarget, Expectations, History,
};
pub use violation::{Rule, Violation};

impl History {
    /// Checks every rule and returns all violations, each with the records that show it.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        let rules = [
            answers::check,
            jobs::check,
            refusals::check,
            in_flight::check,
            leaving::check,
            config_order::check,
        ];
        let mut violations = Vec::new();
        for rule in rules {
            rule(self, &mut violations);
        }
        violations
    }
}
