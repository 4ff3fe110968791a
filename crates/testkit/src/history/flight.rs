//! Checks that no request in flight is cut off and no address in use refuses connections, except
//! while the process is disturbed.

use super::{CallEnd, History, Rule, Target, Violation};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    for record in &history.calls {
        let (rule, detail) = match &record.end {
            CallEnd::Broken(cause) => (
                Rule::Flight,
                format!("no complete reply was received: {cause}"),
            ),
            CallEnd::Unreadable(text) => {
                (Rule::Flight, format!("the reply cannot be parsed: {text}"))
            }
            CallEnd::NoConnection => (Rule::Address, String::from("the connection was refused")),
            CallEnd::Answer(_) | CallEnd::Job(_) | CallEnd::Refused(_) => continue,
        };
        let target = Target::Process(record.address);
        if !history.is_disturbed(&target, record.sent_at, record.ended_at) {
            violations.push(Violation::of_call(rule, record, detail));
        }
    }
}
