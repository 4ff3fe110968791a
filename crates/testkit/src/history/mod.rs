//! Histories of what callers, backend servers and the harness saw, and the checker of them.
//!
//! One checker decides whether what must always hold did hold; each rule has a file.

mod answers;
mod flight;
mod jobs;
mod leaving;
mod order;
mod record;
mod refusals;
mod violation;

pub use record::{Call, CallEnd, CallRecord, Disturbance, Expectations, History, Target};
pub use violation::{Rule, Violation};

impl History {
    /// Checks every rule and returns all violations, with the records that show each.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        let rules = [
            answers::check,
            jobs::check,
            refusals::check,
            flight::check,
            leaving::check,
            order::check,
        ];
        let mut violations = Vec::new();
        for rule in rules {
            rule(self, &mut violations);
        }
        violations
    }
}
