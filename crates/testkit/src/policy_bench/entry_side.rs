//! The entries of a run, which drive the gathers of requests, send and cancel calls and handle
//! replies.

use std::sync::Arc;

use cassialift_core::{
    ids::{ServerId, ShardId},
    policy::{
        gather::{Action, AttemptCause, Context, GatherEnd, GatherOutcome},
        outcome::CallOutcome,
        replica::CallReport,
    },
};

use super::{
    arrival::target,
    event::{Event, QueueReport},
    record::{CompletedRequest, RequestEnd},
    search::{GatherState, Search},
    simulation::{Call, Simulation, Strategy},
};

impl Simulation {
    pub(super) fn on_reply(&mut self, call_id: u64, outcome: CallOutcome, queue: QueueReport) {
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        if call.cancelled {
            return;
        }
        let Some(mut search) = self.searches.remove(&call.search) else {
            return;
        };
        search.open_calls.remove(&call.attempt);
        self.report_call(&search, &call, outcome, queue);
        let mut actions = Vec::new();
        let included = self.run_gather(&mut search, |gather, context| {
            gather.on_reply(call.attempt, outcome, context, &mut actions)
        });
        if included && let CallOutcome::Done(version) = outcome {
            search.row_versions.push((call.shard, version));
        }
        // A request that has ended is kept only until its probes have been answered.
        if search.gather.next_timer().is_none()
            && actions.is_empty()
            && search.open_calls.is_empty()
        {
            return;
        }
        self.searches.insert(call.search, search);
        self.apply_actions(call.search, actions);
    }

    pub(super) fn on_timer(&mut self, id: u64) {
        let now = self.now;
        let Some(mut search) = self.searches.remove(&id) else {
            return;
        };
        if search.timer_at != Some(now) {
            self.searches.insert(id, search);
            return;
        }
        search.timer_at = None;
        let actions = self.run_gather(&mut search, GatherState::on_timer);
        self.searches.insert(id, search);
        self.apply_actions(id, actions);
    }

    /// Restarts a stalled request if its entry knows a newer index version.
    pub(super) fn restart(&mut self, id: u64) {
        let Some(mut search) = self.searches.remove(&id) else {
            return;
        };
        let document = Arc::clone(&self.entries[search.entry].documents[search.service]);
        let newer = match &search.gather {
            GatherState::Policy(gather) => document.version > gather.version(),
            GatherState::Naive(_) => false,
        };
        search.stalled = !newer;
        let mut actions = Vec::new();
        if newer {
            let all_shards = search.all_shards;
            let entries = document.shards.iter();
            let requested =
                entries.filter(|entry| all_shards || search.shards.contains(&entry.shard));
            let targets: Vec<_> = requested.map(target).collect();
            search.shards = targets.iter().map(|target| target.shard).collect();
            search.row_versions.clear();
            self.record.restarts += 1;
            actions = self.run_gather(&mut search, |gather, context| match gather {
                GatherState::Policy(gather) => gather.restart(document.version, targets, context),
                GatherState::Naive(_) => Vec::new(),
            });
        }
        self.searches.insert(id, search);
        self.apply_actions(id, actions);
    }

    pub(super) fn run_gather<R>(
        &mut self,
        search: &mut Search,
        run: impl FnOnce(&mut GatherState, &mut Context<'_>) -> R,
    ) -> R {
        let mut context = Context {
            tables: &mut self.entries[search.entry].tables,
            now: self.now,
            rng: &mut self.entry_rng,
        };
        run(&mut search.gather, &mut context)
    }

    fn report_call(
        &mut self,
        search: &Search,
        call: &Call,
        outcome: CallOutcome,
        queue: QueueReport,
    ) {
        if self.settings.strategy != Strategy::Policy {
            return;
        }
        let server = ServerId::clone(&self.servers[call.server].id);
        let service = Arc::clone(&self.latest_documents[search.service].service);
        let report = CallReport {
            outcome,
            latency: self.now - call.sent_at,
            queue_len: Some(queue.queue_len),
            queue_wait: queue.queue_wait,
        };
        let tables = &mut self.entries[search.entry].tables;
        tables.on_report(&service, search.kind, &server, &report, self.now);
    }

    pub(super) fn apply_actions(&mut self, id: u64, actions: Vec<Action>) {
        let mut end = None;
        let mut stalled = false;
        for action in actions {
            match action {
                Action::Send {
                    attempt,
                    shard,
                    server,
                    cause,
                    ..
                } => self.send(id, attempt, shard, &server, cause),
                Action::Cancel { attempt, .. } => self.cancel(id, attempt),
                Action::Stall { .. } => stalled = true,
                Action::Finish(summary) => end = Some(summary),
            }
        }
        if let Some(end) = end {
            self.finish(id, &end);
        } else if stalled {
            self.restart(id);
        }
        self.set_timer(id);
    }

    fn send(
        &mut self,
        id: u64,
        attempt: u32,
        shard: ShardId,
        server: &ServerId,
        cause: AttemptCause,
    ) {
        let second = (self.now - self.started_at).as_secs();
        let counts = match cause {
            AttemptCause::First => &mut self.record.first_calls,
            _ => &mut self.record.extra_calls,
        };
        *counts.entry(second).or_default() += 1;
        let call_id = self.new_id();
        let Some(search) = self.searches.get_mut(&id) else {
            return;
        };
        let version = match &search.gather {
            GatherState::Policy(gather) => gather.version(),
            GatherState::Naive(gather) => gather.version(),
        };
        let server = self.server_indexes[server];
        let entry = search.entry;
        search.open_calls.insert(attempt, call_id);
        let call = Call {
            search: id,
            attempt,
            shard,
            server,
            queue: self.queue_index(server, entry),
            version,
            sent_at: self.now,
            at_sender: false,
            dequeued_at: None,
            started_at: None,
            finished: false,
            cancelled: false,
        };
        self.calls.insert(call_id, call);
        let at = self.now + self.entry_latency();
        self.events.push(at, Event::CallReachesSender(call_id));
    }

    pub(super) fn cancel(&mut self, id: u64, attempt: u32) {
        let search = self.searches.get_mut(&id);
        let Some(call_id) = search.and_then(|search| search.open_calls.remove(&attempt)) else {
            return;
        };
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.cancelled = true;
            let at = self.now + self.entry_latency();
            self.events.push(at, Event::CancelReachesSender(call_id));
        }
    }

    fn set_timer(&mut self, id: u64) {
        let Some(search) = self.searches.get_mut(&id) else {
            return;
        };
        let next = search.gather.next_timer().map(|at| at.max(self.now));
        if next != search.timer_at
            && let Some(at) = next
        {
            self.events.push(at, Event::Timer(id));
        }
        search.timer_at = next;
    }

    fn finish(&mut self, id: u64, end: &GatherEnd) {
        let Some(search) = self.searches.get(&id).cloned() else {
            return;
        };
        let included = u32::try_from(end.coverage.included.len()).unwrap_or(u32::MAX);
        let request_end = match end.outcome {
            GatherOutcome::Answer => RequestEnd::Answered,
            GatherOutcome::NotRun => RequestEnd::NotRun,
            GatherOutcome::Unknown => RequestEnd::Failed,
        };
        self.check_guarantees(&search, end);
        if self.settings.strategy == Strategy::Policy {
            let tables = &mut self.entries[search.entry].tables;
            tables.admission.on_end(&search.caller);
        }
        self.record_end(&search, request_end, included);
        // Probes may still be pending. The request is kept until their replies are reported.
        if search.open_calls.is_empty() {
            self.searches.remove(&id);
        }
    }

    /// Checks the guarantees that hold for every request and counts violations.
    fn check_guarantees(&mut self, search: &Search, end: &GatherEnd) {
        let record = &mut self.record;
        let mixed = search
            .row_versions
            .iter()
            .any(|(_, version)| *version != end.version);
        record.mixed_answers += u64::from(mixed);
        let mut rows: Vec<_> = search
            .row_versions
            .iter()
            .map(|(shard, _)| *shard)
            .collect();
        rows.sort_unstable();
        let mut stated = end.coverage.included.clone();
        let complete = stated.len() + end.coverage.missing.len() == search.shards.len();
        record.false_coverage += u64::from(rows != stated || !complete);
        stated.dedup();
        record.false_coverage += u64::from(stated.len() != rows.len());
        record.false_refusals +=
            u64::from(end.outcome == GatherOutcome::NotRun && search.started_calls > 0);
        record.repeated_runs += u64::from(!search.kind.is_idempotent() && search.started_calls > 1);
        record.late_ends += u64::from(self.now > search.deadline);
    }

    pub(super) fn record_end(&mut self, search: &Search, end: RequestEnd, included: u32) {
        self.record.completed.push(CompletedRequest {
            service: search.service,
            kind: search.kind,
            started_at: search.started_at - self.started_at,
            latency: self.now - search.started_at,
            time_limit: search.deadline - search.started_at,
            end,
            included,
            total: u32::try_from(search.shards.len()).unwrap_or(u32::MAX),
        });
    }
}
