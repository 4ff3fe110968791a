//! Requests in flight: none is cut off but by the fault of its own process or connection.

use super::{CallEnd, History, Rule, Target, Violation};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    for record in &history.calls {
        let detail = match &record.end {
            CallEnd::Broken(cause) => format!("no reply came: {cause}"),
            CallEnd::Unreadable(text) => format!("the reply is no message: {text}"),
            CallEnd::Answer(_) | CallEnd::Job(_) | CallEnd::Refused(_) | CallEnd::NoConnection => {
                continue;
            }
        };
        let target = Target::Process(record.address);
        if !history.is_disturbed(&target, record.sent, record.ended) {
            violations.push(Violation::of_call(Rule::Flight, record, detail));
        }
    }
}
