//! Combinations of settings that cannot work.

use std::net::SocketAddr;

use cassialift_core::{index::MAX_NAME, text::Path, time::Millis};

use super::{LimitSettings, Settings, SettingsCause};
use crate::{entry::jobs::JobSettings, owner::OwnerSettings};

/// The largest request body that may be allowed, bytes.
const MAX_BODY: u64 = 16 << 20;
/// The most headers of a request that may be allowed.
const MAX_HEADERS: u64 = 1_024;
/// The most connections or requests that may be allowed.
const MAX_COUNT: u64 = 1_000_000;
/// The largest reply body of a backend server that may be allowed, bytes.
const MAX_REPLY: u64 = 64 << 20;
/// The most bytes of remembered outcomes that may be allowed.
const MAX_OUTCOMES: u64 = 4 << 30;
/// The longest wait on the edge towards backend servers.
const MAX_WAIT: Millis = Millis::new(60_000);
/// The longest that a caller may be given to send a request.
const MAX_RECEIVE: Millis = Millis::new(600_000);

type Checked = Result<(), (Path, SettingsCause)>;

impl Settings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    /// Returns where the first fault is, and what is wrong.
    pub(super) fn validate(&self) -> Checked {
        name("vm", &self.vm)?;
        name("centre", &self.centre)?;
        listening("callers", self.callers)?;
        listening("peers", self.peers)?;
        if self.callers == self.peers {
            return fail("peers", SettingsCause::SameAddress(self.peers));
        }
        self.validate_platform()?;
        if let Some(statsd) = self.statsd {
            calling("statsd", statsd)?;
        }
        self.limits.validate()?;
        validate_owner(&self.owner)?;
        validate_jobs(&self.jobs)
    }
}

impl Settings {
    fn validate_platform(&self) -> Checked {
        match (&self.platform, self.store) {
            (Some(platform), None) => {
                calling("platform.config", platform.config)?;
                calling("platform.vms", platform.vms)?;
            }
            (None, Some(store)) => calling("store", store)?,
            (None, None) | (Some(_), Some(_)) => {
                return Err((Path::default(), SettingsCause::OnePlatform));
            }
        }
        let Some(gateway) = &self.gateway else {
            return Ok(());
        };
        if self.store.is_none() {
            return fail("gateway", SettingsCause::GatewayWithoutStore);
        }
        listening("gateway.requests", gateway.requests)?;
        listening("gateway.directory", gateway.directory)?;
        listening("gateway.readiness", gateway.readiness)?;
        let grace = Millis(gateway.grace.0);
        within("gateway.grace", grace.into(), MAX_RECEIVE.into())?;
        if !(0.0..=1.0).contains(&gateway.repeat_ratio) {
            let cause = SettingsCause::BadRatio(gateway.repeat_ratio);
            return fail("gateway.repeat_ratio", cause);
        }
        Ok(())
    }
}

impl LimitSettings {
    fn validate(&self) -> Checked {
        within("limits.body", self.body as u64, MAX_BODY)?;
        within("limits.headers", self.headers as u64, MAX_HEADERS)?;
        within("limits.connections", self.connections as u64, MAX_COUNT)?;
        within("limits.requests", self.requests as u64, MAX_COUNT)?;
        within("limits.receive", self.receive.into(), MAX_RECEIVE.into())
    }
}

fn validate_owner(owner: &OwnerSettings) -> Checked {
    let longest = MAX_WAIT.into();
    within("owner.connect", owner.connect.into(), longest)?;
    within("owner.cancel", owner.cancel.into(), longest)?;
    at_most("owner.grace", owner.grace.into(), longest)?;
    at_most("owner.fresh", owner.fresh.into(), longest)?;
    at_most("owner.hold", owner.hold.into(), longest)?;
    within("owner.reply", owner.reply as u64, MAX_REPLY)
}

fn validate_jobs(jobs: &JobSettings) -> Checked {
    within("jobs.records", jobs.records as u64, MAX_COUNT)?;
    within("jobs.caller", jobs.caller as u64, MAX_COUNT)?;
    within("jobs.bytes", jobs.bytes as u64, MAX_OUTCOMES)
}

fn name(keys: &str, name: &str) -> Checked {
    if (1..=MAX_NAME).contains(&name.len()) {
        return Ok(());
    }
    fail(keys, SettingsCause::BadName)
}

/// Checks an address that others are told to connect to.
fn listening(keys: &str, address: SocketAddr) -> Checked {
    if address.ip().is_unspecified() || address.port() == 0 {
        return fail(keys, SettingsCause::NotConcrete(address));
    }
    Ok(())
}

fn calling(keys: &str, address: SocketAddr) -> Checked {
    if address.ip().is_unspecified() || address.port() == 0 {
        return fail(keys, SettingsCause::NoTarget(address));
    }
    Ok(())
}

fn within(keys: &str, value: u64, limit: u64) -> Checked {
    match value {
        0 => fail(keys, SettingsCause::Zero),
        _ => at_most(keys, value, limit),
    }
}

fn at_most(keys: &str, value: u64, limit: u64) -> Checked {
    if value <= limit {
        return Ok(());
    }
    fail(keys, SettingsCause::TooLarge { value, limit })
}

fn fail(keys: &str, cause: SettingsCause) -> Checked {
    Err((Path::new(keys), cause))
}
