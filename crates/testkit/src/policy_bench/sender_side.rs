//! The senders of a run: VMs that queue calls, send them to backend servers and cancel them.
//!
//! The sender of a call is the owner of its backend server or, with direct routing, the entry
//! itself.

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
    /// Handles the arrival of a call at its sender.
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
        // The time left is reduced by the hops that the call and its reply still need.
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

    /// Handles the arrival of a cancellation at the sender of the call.
    pub(super) fn on_cancel_at_sender(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.finished {
            return;
        }
        let (queue, latency) = (call.queue, self.server_latency());
        if call.dequeued_at.is_none() {
            self.queues[queue].remove(id);
            self.calls.remove(&id);
        } else if latency.is_zero() {
            self.on_stop(id);
        } else {
            self.events
                .push(self.now + latency, Event::StopReachesServer(id));
        }
    }

    /// Handles the outcome of a call, or `None` if it was stopped, at its sender.
    pub(super) fn on_outcome_at_sender(&mut self, id: u64, outcome: Option<CallOutcome>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let queue = call.queue;
        let duration = call
            .dequeued_at
            .map_or(Duration::ZERO, |dequeued_at| self.now - dequeued_at);
        self.queues[queue].on_end(outcome, duration, self.now);
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

    /// Queues a refused call again unless it was cancelled; returns whether it was queued.
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

    /// Removes expired calls from a queue and sends queued calls while the limit permits.
    pub(super) fn dispatch(&mut self, queue: usize) {
        for (id, cause) in self.queues[queue].expire(self.now) {
            self.reply(id, CallOutcome::NotRun(cause));
        }
        while let Some(id) = self.queues[queue].pop(self.now) {
            self.send_to_server(id, queue);
        }
    }

    /// Sends a call to its backend server, on a new connection if none is free.
    fn send_to_server(&mut self, id: u64, queue: usize) {
        let second = self.second();
        let is_new = self.queues[queue].take_connection();
        *self.record.opened_connections.entry(second).or_default() += u64::from(is_new);
        if let Some(call) = self.calls.get_mut(&id) {
            call.dequeued_at = Some(self.now);
        }
        let connecting = if is_new { CONNECT_TIME } else { Duration::ZERO };
        let travel = self.server_latency() + connecting;
        if travel.is_zero() {
            self.on_call_at_server(id);
        } else {
            self.events
                .push(self.now + travel, Event::CallReachesServer(id));
        }
    }

    /// Sends the outcome of a call to its entry, with the state of the queue.
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
