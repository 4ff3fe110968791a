//! Validation of settings: names, addresses, limits and combinations.

use std::net::SocketAddr;

use cassialift_core::{
    config::{RECOVERY_TIME, ReadSettings},
    index::MAX_NAME_BYTES,
    jsonc::Path,
    time::Millis,
};

use super::{LimitSettings, Settings, SettingsCause};
use crate::{entry::jobs::JobSettings, owner::OwnerSettings};

/// The largest value for the size of a request body, in bytes.
const MAX_BODY: u64 = 16 << 20;
/// The largest value for the number of headers of a request.
const MAX_HEADERS: u64 = 1_024;
/// The largest value for a number of connections, requests or job records.
const MAX_COUNT: u64 = 1_000_000;
/// The largest value for the size of a backend server's reply body, in bytes.
const MAX_REPLY: u64 = 64 << 20;
/// The largest value for the size of the kept job outcomes, in bytes.
const MAX_OUTCOMES: u64 = 4 << 30;
/// The largest value for a time limit of calls to backend servers.
const MAX_WAIT: Millis = Millis::new(60_000);
/// The time in which a confirmation reaches all VMs of a small fleet, at the least.
const CONFIRMATION_SPREAD: Millis = Millis::new(1_000);
/// The largest value for the time to receive a request and for the gateway's grace period.
const MAX_RECEIVE: Millis = Millis::new(600_000);

type CheckResult = Result<(), (Path, SettingsCause)>;

impl Settings {
    /// Checks that the settings are valid and consistent.
    ///
    /// # Errors
    /// Returns the path to the first fault and its cause.
    pub(super) fn validate(&self) -> CheckResult {
        check_name("vm", &self.vm)?;
        check_name("centre", &self.centre)?;
        check_listen_address("callers", self.callers)?;
        check_listen_address("peers", self.peers)?;
        if self.callers == self.peers {
            return fail("peers", SettingsCause::SameAddress(self.peers));
        }
        self.validate_platform()?;
        if let Some(statsd) = self.statsd {
            check_target_address("statsd", statsd)?;
        }
        validate_reads(&self.reads)?;
        self.limits.validate()?;
        validate_owner(&self.owner)?;
        validate_jobs(&self.jobs)
    }
}

impl Settings {
    fn validate_platform(&self) -> CheckResult {
        match (&self.platform, self.store) {
            (Some(platform), None) => {
                check_target_address("platform.config", platform.config)?;
                check_target_address("platform.vms", platform.vms)?;
            }
            (None, Some(store)) => check_target_address("store", store)?,
            (None, None) | (Some(_), Some(_)) => {
                return Err((Path::default(), SettingsCause::NotOnePlatform));
            }
        }
        let Some(gateway) = &self.gateway else {
            return Ok(());
        };
        if self.store.is_none() {
            return fail("gateway", SettingsCause::GatewayWithoutStore);
        }
        check_listen_address("gateway.requests", gateway.requests)?;
        check_listen_address("gateway.directory", gateway.directory)?;
        check_listen_address("gateway.readiness", gateway.readiness)?;
        let grace = Millis(gateway.grace.0);
        check_positive("gateway.grace", grace.into(), MAX_RECEIVE.into())?;
        if !(0.0..=1.0).contains(&gateway.repeat_ratio) {
            let cause = SettingsCause::BadRatio(gateway.repeat_ratio);
            return fail("gateway.repeat_ratio", cause);
        }
        Ok(())
    }
}

impl LimitSettings {
    fn validate(&self) -> CheckResult {
        check_positive("limits.body", self.body as u64, MAX_BODY)?;
        check_positive("limits.headers", self.headers as u64, MAX_HEADERS)?;
        check_positive("limits.connections", self.connections as u64, MAX_COUNT)?;
        check_positive("limits.requests", self.requests as u64, MAX_COUNT)?;
        check_positive("limits.memory", self.memory as u64, MAX_COUNT)?;
        check_positive("limits.receive", self.receive.into(), MAX_RECEIVE.into())
    }
}

/// Checks that a change can be in force in time after a failed read, and that VMs that are not
/// elected do not read while the elected ones wait for changes.
///
/// A read confirms the configuration as of the time it was sent, so just before the next one ends
/// the newest confirmation is as old as two waits.
fn validate_reads(reads: &ReadSettings) -> CheckResult {
    let least = Millis(RECOVERY_TIME);
    if reads.apply.0 <= least.0 {
        let (apply, least) = (reads.apply.into(), least.into());
        let cause = SettingsCause::ShortApply { apply, least };
        return fail("reads.apply", cause);
    }
    let oldest = reads.wait.0 * 2 + CONFIRMATION_SPREAD.0;
    if oldest <= reads.stale.0 {
        return Ok(());
    }
    let (wait, stale) = (reads.wait.into(), reads.stale.into());
    let cause = SettingsCause::LateConfirmations { wait, stale };
    fail("reads.stale", cause)
}

fn validate_owner(owner: &OwnerSettings) -> CheckResult {
    let longest = MAX_WAIT.into();
    check_positive("owner.connect", owner.connect.into(), longest)?;
    check_positive("owner.cancel", owner.cancel.into(), longest)?;
    check_at_most("owner.grace", owner.grace.into(), longest)?;
    check_at_most("owner.fresh", owner.fresh.into(), longest)?;
    check_at_most("owner.hold", owner.hold.into(), longest)?;
    check_positive("owner.reply", owner.reply as u64, MAX_REPLY)
}

fn validate_jobs(jobs: &JobSettings) -> CheckResult {
    check_positive("jobs.records", jobs.records as u64, MAX_COUNT)?;
    check_positive("jobs.caller", jobs.caller as u64, MAX_COUNT)?;
    check_positive("jobs.bytes", jobs.bytes as u64, MAX_OUTCOMES)
}

fn check_name(keys: &str, name: &str) -> CheckResult {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        return Ok(());
    }
    fail(keys, SettingsCause::BadName)
}

/// Checks an address to which other processes are to connect.
fn check_listen_address(keys: &str, address: SocketAddr) -> CheckResult {
    if address.ip().is_unspecified() || address.port() == 0 {
        return fail(keys, SettingsCause::UnspecifiedAddress(address));
    }
    Ok(())
}

fn check_target_address(keys: &str, address: SocketAddr) -> CheckResult {
    if address.ip().is_unspecified() || address.port() == 0 {
        return fail(keys, SettingsCause::UnspecifiedTarget(address));
    }
    Ok(())
}

fn check_positive(keys: &str, value: u64, limit: u64) -> CheckResult {
    match value {
        0 => fail(keys, SettingsCause::Zero),
        _ => check_at_most(keys, value, limit),
    }
}

fn check_at_most(keys: &str, value: u64, limit: u64) -> CheckResult {
    if value <= limit {
        return Ok(());
    }
    fail(keys, SettingsCause::TooLarge { value, limit })
}

fn fail(keys: &str, cause: SettingsCause) -> CheckResult {
    Err((Path::new(keys), cause))
}
