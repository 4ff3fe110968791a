//! Checks that no request in flight is cut off and no address in use refuses connections, except
//! while the process is disturbed.

use super::{CallEnd, DisturbanceTarget, History, Rule, Violation};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    for record in &history.calls {
        let (rule, detail) = match &record.end {
            CallEnd::Broken(cause) => (
                Rule::InFlight,
                format!("no complete reply was received: {cause}"),
            ),
            CallEnd::Unreadable(text) => (
                Rule::InFlight,
                format!("the reply cannot be parsed: {text}"),
            ),
            CallEnd::NoConnection => (Rule::Address, String::from("the connection was refused")),
            CallEnd::Answer(_) | CallEnd::Job(_) | CallEnd::Refused(_) => continue,
        };
        let target = DisturbanceTarget::Process(record.address);
        if !history.is_disturbed(&target, record.sent_at, record.ended_at) {
            violations.push(Violation::of_call(rule, record, detail));
        }
    }
}
