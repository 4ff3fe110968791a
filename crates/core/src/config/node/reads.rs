//! Reads of the configuration service by one process: their replies, their plan, and the notices to
//! the processes that are next in the election.

use std::time::{Duration, Instant};

use super::ConfigNode;
use crate::{
    config::{
        Batch, ConfigAction, ConfigEvent, ReadInput, ReadPlan, ServiceReachability, Source,
        plan_reads,
        readers::{is_missed, standbys},
    },
    ids::VmId,
};

/// The time between two notices of an elected process that it cannot read the service, while no
/// other process is known to read it.
const NOTICE_PERIOD: Duration = Duration::from_millis(500);

impl ConfigNode {
    /// Handles the service's reply to a read that was sent at `sent_at`; `None` if the read failed.
    pub fn handle_read_reply(&mut self, batch: Option<Batch>, sent_at: Instant, now: Instant) {
        let current = self.store.position();
        let Some(batch) = batch else {
            self.on_read_failed(now);
            return;
        };
        let (requested, reply) = (batch.after, batch.position());
        if reply < current && reply.epoch == current.epoch && reply.revision >= requested {
            // Peers have sent newer changes since the read was sent, so its reply is not stale.
            self.apply(batch, &Source::Platform, now);
            self.on_read_succeeded(now);
            return;
        }
        if reply < current {
            self.events
                .push(ConfigEvent::StaleAnswer { reply, current });
            if reply.epoch == current.epoch {
                self.apply(batch, &Source::Platform, now);
            }
            self.on_read_failed(now);
            return;
        }
        let more = batch.more;
        if !self.apply(batch, &Source::Platform, now) {
            self.on_read_failed(now);
            return;
        }
        self.on_read_succeeded(now);
        if !more {
            self.freshness.confirm(sent_at, VmId::clone(&self.own_vm));
        }
    }

    fn on_read_succeeded(&mut self, now: Instant) {
        if self.service == ServiceReachability::Reached {
            return;
        }
        let is_missed = is_missed(&self.read_input(now));
        self.service = ServiceReachability::Reached;
        self.lost_at = None;
        self.events.push(ConfigEvent::ServiceReached);
        if is_missed {
            self.notify_standbys(now);
        }
    }

    fn on_read_failed(&mut self, now: Instant) {
        if self.service == ServiceReachability::Unreachable {
            return;
        }
        self.service = ServiceReachability::Unreachable;
        self.lost_at = Some(now);
        self.events.push(ConfigEvent::ServiceUnreachable);
        if self.plan == ReadPlan::Watch {
            self.notify_standbys(now);
        }
    }

    /// Sends heartbeats, which say whether this process can read the service, to the processes that
    /// are next in the election.
    fn notify_standbys(&mut self, now: Instant) {
        self.noticed_at = Some(now);
        let standbys = standbys(&self.peers, &self.settings);
        self.events.push(ConfigEvent::StandbysNotified {
            count: standbys.len(),
            service: self.service,
        });
        let actions = standbys.into_iter().map(ConfigAction::Announce);
        self.actions.extend(actions);
    }

    /// Notifies the next processes again while this one is missed as a reader and the service has not
    /// confirmed the configuration since. By then the replies of those before have shown whether
    /// they can read it.
    pub(super) fn repeat_notice(&mut self, now: Instant) {
        let Some(lost_at) = self.lost_at else {
            return;
        };
        let is_due = self
            .noticed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= NOTICE_PERIOD);
        let is_replaced = self
            .freshness
            .newest()
            .is_some_and(|newest| newest.at > lost_at);
        if is_due && !is_replaced && is_missed(&self.read_input(now)) {
            self.notify_standbys(now);
        }
    }

    fn read_input(&self, now: Instant) -> ReadInput<'_> {
        ReadInput {
            vm: &self.own_vm,
            centre: &self.centre,
            service: self.service,
            peers: &self.peers,
            uptime: now.saturating_duration_since(self.started_at),
            confirmation_age: self.freshness.age(now),
            reader_age: self.reader_age(now),
            outranked_age: self
                .outranked_at
                .map(|at| now.saturating_duration_since(at)),
            plan: self.plan,
            settings: self.settings,
        }
    }

    /// Updates how this process reads the service, and reports when it begins or ends to.
    pub(super) fn update_plan(&mut self, now: Instant) {
        let previous = self.plan;
        self.plan = plan_reads(&self.read_input(now));
        match (previous, self.plan) {
            (ReadPlan::Idle, ReadPlan::Idle) => {}
            (ReadPlan::Idle, plan) => {
                let age = self.freshness.age(now);
                self.events.push(ConfigEvent::ReadingBegan { plan, age });
            }
            (_, ReadPlan::Idle) => self.events.push(ConfigEvent::ReadingEnded),
            _ => {}
        }
    }
}
