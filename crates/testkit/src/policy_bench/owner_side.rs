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

use super::{event::Event, routing::CONNECT_TIME, world::World};

impl World {
    /// A call reaches the VM that holds it.
    pub(super) fn on_call(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (lane, search) = (call.lane, call.search);
        if self.refuse_absent(id, lane) {
            return;
        }
        let Some(search) = self.searches.get(&search) else {
            self.calls.remove(&id);
            return;
        };
        // The time left shrinks by the hops that the call and its reply still need.
        let hops = self.near() + self.far() * 2;
        let deadline = search.started + (search.deadline - search.started).saturating_sub(hops);
        let entry = QueueEntry {
            id,
            caller: CallerId::clone(&search.caller),
            urgency: search.kind.urgency(),
            deadline,
            queued_at: self.now,
        };
        if let Some(call) = self.calls.get_mut(&id) {
            call.held = true;
        }
        if let Some((dropped, cause)) = self.owners[lane].push(entry, self.now) {
            self.reply(dropped, CallOutcome::NotRun(cause));
        }
        self.dispatch(lane);
        if self.owners[lane].queued() > 0 {
            let at = deadline.max(self.now);
            self.events.push(at, Event::Expire(lane));
        }
    }

    /// A cancellation reaches the VM that holds the call.
    pub(super) fn on_cancel(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.replied {
            return;
        }
        let (lane, far) = (call.lane, self.far());
        if call.left.is_none() {
            self.owners[lane].remove(id);
            self.calls.remove(&id);
        } else if far.is_zero() {
            self.on_stop(id);
        } else {
            self.events.push(self.now + far, Event::Stop(id));
        }
    }

    /// What came of a call is back at the VM that holds it; none when it was stopped.
    pub(super) fn on_back(&mut self, id: u64, outcome: Option<CallOutcome>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let lane = call.lane;
        let took = call.left.map_or(Duration::ZERO, |left| self.now - left);
        self.owners[lane].on_end(outcome, took, self.now);
        let busy = outcome == Some(CallOutcome::NotRun(NotRunCause::Busy));
        if busy && self.settings.routing.requeues() && self.requeue(id) {
            return;
        }
        if let Some(outcome) = outcome {
            self.reply(id, outcome);
        } else {
            self.calls.remove(&id);
        }
        self.dispatch(lane);
    }

    /// Lets a call that was refused wait again, unless it was cancelled; returns whether it does.
    fn requeue(&mut self, id: u64) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        if call.cancelled {
            return false;
        }
        call.left = None;
        call.replied = false;
        self.on_call(id);
        true
    }

    /// Gives free slots to the calls that wait for them.
    pub(super) fn dispatch(&mut self, lane: usize) {
        for (id, cause) in self.owners[lane].expire(self.now) {
            self.reply(id, CallOutcome::NotRun(cause));
        }
        while let Some(id) = self.owners[lane].pop(self.now) {
            self.begin(id, lane);
        }
    }

    /// Sends a call to its backend server, on a new connection if none is free.
    fn begin(&mut self, id: u64, lane: usize) {
        let second = self.second();
        let opens = self.owners[lane].connect();
        *self.record.opened_connections.entry(second).or_default() += u64::from(opens);
        if let Some(call) = self.calls.get_mut(&id) {
            call.left = Some(self.now);
        }
        let connecting = if opens { CONNECT_TIME } else { Duration::ZERO };
        let travel = self.far() + connecting;
        if travel.is_zero() {
            self.on_server(id);
        } else {
            self.events.push(self.now + travel, Event::AtServer(id));
        }
    }

    /// Sends the outcome of a call to its entry.
    pub(super) fn reply(&mut self, id: u64, outcome: CallOutcome) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.replied = true;
        let told = self.owners[call.lane].told();
        let event = Event::AtEntry(id, outcome, told);
        self.events.push(self.now + self.near(), event);
    }
}
