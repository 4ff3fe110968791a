//! The fake backend servers of a run: they refuse calls, run them and are told to stop.

use cassialift_core::policy::outcome::{CallOutcome, NotRunCause, UnknownCause};

use super::{backend::Condition, event::Event, simulation::Simulation};

impl Simulation {
    /// A call reaches its backend server.
    pub(super) fn on_call_at_server(&mut self, id: u64) {
        let second = self.second();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (server, version, search) = (call.server, call.version, call.search);
        *self.record.server_calls.entry(second).or_default() += 1;
        if let Some(cause) = self.servers[server].refusal(version) {
            let busy = u64::from(cause == NotRunCause::Busy);
            *self.record.busy_refusals.entry(second).or_default() += busy;
            self.send_back(id, Some(CallOutcome::NotRun(cause)));
            return;
        }
        call.started_at = Some(self.now);
        self.servers[server].running += 1;
        let search = self.searches.get_mut(&search);
        let deadline = search.map(|search| {
            search.started_calls += 1;
            search.deadline
        });
        let time = self.servers[server].service_time(&mut self.service_rng);
        let at = match (time, deadline) {
            (Some(time), _) => self.now + time,
            (None, Some(deadline)) => deadline.max(self.now),
            (None, None) => self.now,
        };
        self.events.push(at, Event::CallEnds(id));
    }

    /// A backend server is done with a call, or its time has run out.
    pub(super) fn on_call_end(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.finished {
            return;
        }
        let outcome = match self.servers[call.server].condition {
            Condition::Unresponsive => CallOutcome::Unknown(UnknownCause::Timeout),
            Condition::Refusing => CallOutcome::Unknown(UnknownCause::Broken),
            Condition::Up(_) => CallOutcome::Done(call.version),
        };
        self.free_slot(id);
        self.send_back(id, Some(outcome));
    }

    /// A backend server is told to stop a call; it does so unless it is silent.
    ///
    /// A cancellation that overtakes its call has no effect.
    pub(super) fn on_stop(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let silent = self.servers[call.server].condition == Condition::Unresponsive;
        if call.finished || call.started_at.is_none() || silent {
            return;
        }
        self.free_slot(id);
        self.send_back(id, None);
    }

    /// Frees the slot of a running call and notes the time that it took of a server that is up.
    pub(super) fn free_slot(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(began) = call.started_at else {
            return;
        };
        let server = &mut self.servers[call.server];
        server.running = server.running.saturating_sub(1);
        let up = matches!(server.condition, Condition::Up(_));
        if up && server.service == 0 {
            let second = (self.now - self.started_at).as_secs();
            *self.record.busy_time.entry(second).or_default() += self.now - began;
        }
    }

    /// Sends what came of a call to the VM that holds it; none when it was stopped.
    fn send_back(&mut self, id: u64, outcome: Option<CallOutcome>) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.finished = true;
        }
        let far = self.server_latency();
        if far.is_zero() {
            self.on_outcome_at_sender(id, outcome);
        } else {
            self.events
                .push(self.now + far, Event::OutcomeReachesSender(id, outcome));
        }
    }
}
