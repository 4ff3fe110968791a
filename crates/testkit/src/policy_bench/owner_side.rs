//! The owners and backend servers of a run: calls wait, run and are cancelled.

use std::time::Duration;

use cassialift_core::{
    ids::CallerId,
    policy::{
        outcome::{CallOutcome, NotRunCause, UnknownCause},
        queue::QueueEntry,
    },
};

use super::{backend::Condition, event::Event, world::World};

impl World {
    /// A call reaches its owner.
    pub(super) fn on_call(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let server = call.server;
        let Some(search) = self.searches.get(&call.search) else {
            self.calls.remove(&id);
            return;
        };
        // The time left shrinks by the hop that the reply will need.
        let hop = self.settings.deployment.hop;
        let deadline = search.started + (search.deadline - search.started).saturating_sub(hop);
        let entry = QueueEntry {
            id,
            caller: CallerId::clone(&search.caller),
            urgency: search.kind.urgency(),
            deadline,
            queued: self.now,
        };
        if let Some((dropped, cause)) = self.owners[server].push(entry, self.now) {
            self.reply(dropped, CallOutcome::NotRun(cause));
        }
        self.dispatch(server);
        if self.owners[server].queued() > 0 {
            let at = deadline.max(self.now);
            self.events.push(at, Event::Expire(server));
        }
    }

    /// A cancellation reaches the owner; a running call stops unless its server is silent.
    pub(super) fn on_cancel(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (server, began) = (call.server, call.began);
        if call.replied {
            return;
        }
        let silent = self.servers[server].condition == Condition::Silent;
        if began.is_none() {
            self.owners[server].remove(id);
            self.calls.remove(&id);
        } else if !silent {
            self.note_busy(id);
            self.owners[server].on_end(None, Duration::ZERO, self.now);
            self.calls.remove(&id);
            self.dispatch(server);
        }
    }

    /// A backend server is done with a call, or its time has run out.
    pub(super) fn on_done(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (server, version, began) = (call.server, call.version, call.began);
        let took = began.map_or(Duration::ZERO, |began| self.now - began);
        let outcome = match self.servers[server].condition {
            Condition::Silent => CallOutcome::Unknown(UnknownCause::Timeout),
            Condition::Refusing => CallOutcome::Unknown(UnknownCause::Broken),
            Condition::Up(_) => CallOutcome::Done(version),
        };
        self.note_busy(id);
        self.owners[server].on_end(Some(outcome), took, self.now);
        self.reply(id, outcome);
        self.dispatch(server);
    }

    /// Notes the slot time that a call of the first service took of a server that is up.
    fn note_busy(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let server = &self.servers[call.server];
        let up = matches!(server.condition, Condition::Up(_));
        if let Some(began) = call.began
            && up
            && server.service == 0
        {
            let second = (self.now - self.base).as_secs();
            *self.record.busy.entry(second).or_default() += self.now - began;
        }
    }

    /// Gives free slots of a backend server to the calls that wait for it.
    pub(super) fn dispatch(&mut self, server: usize) {
        for (id, cause) in self.owners[server].expire(self.now) {
            self.reply(id, CallOutcome::NotRun(cause));
        }
        while let Some(id) = self.owners[server].pop(self.now) {
            self.begin(id);
        }
    }

    fn begin(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.began = Some(self.now);
        let (server, version, search) = (call.server, call.version, call.search);
        if let Some(cause) = self.refusal(server, version) {
            let outcome = CallOutcome::NotRun(cause);
            self.owners[server].on_end(Some(outcome), Duration::ZERO, self.now);
            self.reply(id, outcome);
            return;
        }
        let search = self.searches.get_mut(&search);
        let deadline = search.map(|search| {
            search.ran += 1;
            search.deadline
        });
        let time = self.servers[server].service_time(&mut self.service_rng);
        let at = match (time, deadline) {
            (Some(time), _) => self.now + time,
            (None, Some(deadline)) => deadline.max(self.now),
            (None, None) => self.now,
        };
        self.events.push(at, Event::Done(id));
    }

    fn refusal(&self, server: usize, version: u64) -> Option<NotRunCause> {
        let server = &self.servers[server];
        if server.condition == Condition::Refusing {
            return Some(NotRunCause::Connect);
        }
        if server.versions.contains(&version) {
            return None;
        }
        let held = server.versions.last().copied().unwrap_or_default();
        Some(NotRunCause::VersionGone(held))
    }

    fn reply(&mut self, id: u64, outcome: CallOutcome) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.replied = true;
        let queued = self.owners[call.server].queued();
        let hop = self.settings.deployment.hop;
        let event = Event::AtEntry(id, outcome, queued);
        self.events.push(self.now + hop, event);
    }
}
