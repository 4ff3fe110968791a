//! Calls at the fake backend servers of a run, which refuse, run or stop them.

use cassialift_core::policy::outcome::{CallOutcome, NotRunCause, UnknownCause};

use super::{backend::Condition, event::Event, simulation::Simulation};

impl Simulation {
    /// Handles the arrival of a call at its backend server.
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

    /// Handles the end of a call at its backend server, or the deadline of a call that never ends.
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

    /// Handles a stop request at a backend server, which stops the call unless it is unresponsive.
    ///
    /// A stop request that arrives before its call has no effect.
    pub(super) fn on_stop(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let unresponsive = self.servers[call.server].condition == Condition::Unresponsive;
        if call.finished || call.started_at.is_none() || unresponsive {
            return;
        }
        self.free_slot(id);
        self.send_back(id, None);
    }

    /// Frees the slot of a running call.
    ///
    /// The slot time is recorded if the server belongs to the first service and is up.
    pub(super) fn free_slot(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(started_at) = call.started_at else {
            return;
        };
        let server = &mut self.servers[call.server];
        server.running = server.running.saturating_sub(1);
        let up = matches!(server.condition, Condition::Up(_));
        if up && server.service == 0 {
            let second = (self.now - self.started_at).as_secs();
            *self.record.busy_time.entry(second).or_default() += self.now - started_at;
        }
    }

    /// Sends the outcome of a call, or `None` if it was stopped, to the VM that sent it.
    fn send_back(&mut self, id: u64, outcome: Option<CallOutcome>) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.finished = true;
        }
        let latency = self.server_latency();
        if latency.is_zero() {
            self.on_outcome_at_sender(id, outcome);
        } else {
            self.events
                .push(self.now + latency, Event::OutcomeReachesSender(id, outcome));
        }
    }
}
