//! The VMs that hold the calls of a run: calls wait, go to backend servers and are cancelled.
//!
//! That VM is the backend server's owner, or the entry itself where entries send directly.

use std::time::Duration;

use cassialift_core::{
    ids::CallerId,
    policy::{
        outcome::{CallOutcome, NotRunCause},
        queue::QueueEntry,
    },
};

use super::{event::Event, routing::CONNECT_TIME, simulation::Simulation};

impl Simulation {
    /// A call reaches the VM that holds it.
    pub(super) fn on_call_at_sender(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (queue, search) = (call.queue, call.search);
        if self.refuse_without_owner(id, queue) {
            return;
        }
        let Some(search) = self.searches.get(&search) else {
            self.calls.remove(&id);
            return;
        };
        // The time left shrinks by the hops that the call and its reply still need.
        let hops = self.entry_latency() + self.server_latency() * 2;
        let deadline =
            search.started_at + (search.deadline - search.started_at).saturating_sub(hops);
        let entry = QueueEntry {
            id,
            caller: CallerId::clone(&search.caller),
            urgency: search.kind.urgency(),
            deadline,
            queued_at: self.now,
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.at_sender = true;
        }
        if let Some((dropped, cause)) = self.queues[queue].push(entry, self.now) {
            self.reply(dropped, CallOutcome::NotRun(cause));
        }
        self.dispatch(queue);
        if self.queues[queue].queue_len() > 0 {
            let at = deadline.max(self.now);
            self.events.push(at, Event::QueueExpiry(queue));
        }
    }

    /// A cancellation reaches the VM that holds the call.
    pub(super) fn on_cancel_at_sender(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.finished {
            return;
        }
        let (queue, far) = (call.queue, self.server_latency());
        if call.dequeued_at.is_none() {
            self.queues[queue].remove(id);
            self.calls.remove(&id);
        } else if far.is_zero() {
            self.on_stop(id);
        } else {
            self.events
                .push(self.now + far, Event::StopReachesServer(id));
        }
    }

    /// What came of a call is back at the VM that holds it; none when it was stopped.
    pub(super) fn on_outcome_at_sender(&mut self, id: u64, outcome: Option<CallOutcome>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let queue = call.queue;
        let took = call
            .dequeued_at
            .map_or(Duration::ZERO, |left| self.now - left);
        self.queues[queue].on_end(outcome, took, self.now);
        let busy = outcome == Some(CallOutcome::NotRun(NotRunCause::Busy));
        if busy && self.settings.routing.requeues() && self.requeue(id) {
            return;
        }
        if let Some(outcome) = outcome {
            self.reply(id, outcome);
        } else {
            self.calls.remove(&id);
        }
        self.dispatch(queue);
    }

    /// Lets a call that was refused wait again, unless it was cancelled; returns whether it does.
    fn requeue(&mut self, id: u64) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        if call.cancelled {
            return false;
        }
        call.dequeued_at = None;
        call.finished = false;
        self.on_call_at_sender(id);
        true
    }

    /// Gives free slots to the calls that wait for them.
    pub(super) fn dispatch(&mut self, queue: usize) {
        for (id, cause) in self.queues[queue].expire(self.now) {
            self.reply(id, CallOutcome::NotRun(cause));
        }
        while let Some(id) = self.queues[queue].pop(self.now) {
            self.begin(id, queue);
        }
    }

    /// Sends a call to its backend server, on a new connection if none is free.
    fn begin(&mut self, id: u64, queue: usize) {
        let second = self.second();
        let opens = self.queues[queue].take_connection();
        *self.record.opened_connections.entry(second).or_default() += u64::from(opens);
        if let Some(call) = self.calls.get_mut(&id) {
            call.dequeued_at = Some(self.now);
        }
        let connecting = if opens { CONNECT_TIME } else { Duration::ZERO };
        let travel = self.server_latency() + connecting;
        if travel.is_zero() {
            self.on_call_at_server(id);
        } else {
            self.events
                .push(self.now + travel, Event::CallReachesServer(id));
        }
    }

    /// Sends the outcome of a call to its entry.
    pub(super) fn reply(&mut self, id: u64, outcome: CallOutcome) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.finished = true;
        let queue = self.queues[call.queue].queue_report();
        let event = Event::ReplyReachesEntry(id, outcome, queue);
        self.events.push(self.now + self.entry_latency(), event);
    }
}
