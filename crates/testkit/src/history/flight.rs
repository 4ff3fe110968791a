//! Requests in flight: none is cut off, and no address in use is closed, but by a disturbance of
//! the process.

use super::{CallEnd, History, Rule, Target, Violation};

pub(super) fn check(history: &History, violations: &mut Vec<Violation>) {
    for record in &history.calls {
        let (rule, detail) = match &record.end {
            CallEnd::Broken(cause) => (Rule::Flight, format!("no reply came: {cause}")),
            CallEnd::Unreadable(text) => (Rule::Flight, format!("the reply is no message: {text}")),
            CallEnd::NoConnection => (Rule::Address, String::from("the connection was refused")),
            CallEnd::Answer(_) | CallEnd::Job(_) | CallEnd::Refused(_) => continue,
        };
        let target = Target::Process(record.address);
        if !history.is_disturbed(&target, record.sent_at, record.ended_at) {
            violations.push(Violation::of_call(rule, record, detail));
        }
    }
}
