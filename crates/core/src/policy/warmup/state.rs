//! How long one backend server is cold.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{policy::server_limit::CallRate, time::Millis};

/// What a service states about its cold backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupPolicy {
    /// How long a backend server is cold after its start.
    pub time: Millis,
    /// The calls that a cold backend server bears from all VMs together.
    pub rate: CallRate,
}

/// Whether a backend server is cold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Coldness {
    #[default]
    Warm,
    Until(Instant),
    /// The backend server does not answer, and may have restarted when it does again.
    Doubtful,
}

/// Whether a backend server is cold, and what it bears then.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Warmup {
    /// The service's policy; `None` if cold servers bear as many calls as others.
    policy: Option<WarmupPolicy>,
    coldness: Coldness,
    /// The remaining time in the last document.
    listed: Duration,
}

impl Warmup {
    /// Records the service's policy and the remaining time in the document of the backend server.
    pub(crate) fn set_listed(
        &mut self,
        policy: Option<WarmupPolicy>,
        remaining: Duration,
        now: Instant,
    ) {
        self.policy = policy;
        // A document that says the same as the one before tells nothing new.
        if remaining != std::mem::replace(&mut self.listed, remaining) {
            self.coldness = Coldness::Until(now + remaining);
        }
    }

    /// Returns whether the service states what cold servers bear.
    pub(crate) const fn has_policy(&self) -> bool {
        self.policy.is_some()
    }

    /// Records that the backend server itself stated how long it stays cold.
    pub(crate) fn set_stated(&mut self, remaining: Duration, now: Instant) {
        self.coldness = Coldness::Until(now + remaining);
    }

    /// Records that the backend server has started again, or may have lost its caches.
    pub(crate) fn restart(&mut self, now: Instant) {
        if let Some(policy) = self.policy {
            let until = now + policy.time.0;
            self.coldness = match self.coldness {
                Coldness::Until(known) => Coldness::Until(known.max(until)),
                Coldness::Warm | Coldness::Doubtful => Coldness::Until(until),
            };
        }
    }

    /// Records that calls to the backend server fail.
    pub(crate) const fn suspect(&mut self) {
        if self.policy.is_some() {
            self.coldness = Coldness::Doubtful;
        }
    }

    /// Records that a call returned rows after calls had failed.
    pub(crate) fn recover(&mut self, now: Instant) {
        if self.coldness == Coldness::Doubtful {
            self.restart(now);
        }
    }

    /// Returns the calls that the backend server bears from all VMs together; `None` while it is warm.
    pub(crate) fn rate(&self, now: Instant) -> Option<CallRate> {
        let is_cold = match self.coldness {
            Coldness::Warm => false,
            Coldness::Until(until) => now < until,
            Coldness::Doubtful => true,
        };
        self.policy.filter(|_| is_cold).map(|policy| policy.rate)
    }
}
