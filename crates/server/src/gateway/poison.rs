//! Requests under which backend servers ended: this VM's share of what all VMs know about them.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::{
    ids::VmId,
    policy::poison::{Fingerprint, PoisonReport, PoisonTable, Strike, Verdict},
};
use rand::seq::IteratorRandom;

use super::Gateway;
use crate::{peers, timer::Timer};

/// The number of VMs that are told of something new at once. Each tells as many others, so that a few
/// rounds reach a fleet of thousands.
const FANOUT: usize = 4;
/// The period of exchanges with one other VM, which reach those that the news missed.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(1);
/// How long after its start a VM asks others even if it knows of nothing.
const START_TIME: Duration = Duration::from_secs(10);
/// The time limit for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// What this VM knows about requests under which backend servers ended.
#[derive(Debug, Default)]
pub(super) struct PoisonMemory {
    table: Mutex<PoisonTable>,
    /// Whether the table has entries; read for each request.
    in_use: AtomicBool,
}

impl PoisonMemory {
    pub(super) fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        if !self.in_use.load(Ordering::Relaxed) {
            return Verdict::Harmless;
        }
        self.lock().verdict(fingerprint, Timer.now())
    }

    /// Runs a function that may change the table.
    fn update<R>(&self, run: impl FnOnce(&mut PoisonTable, Instant) -> R) -> R {
        let mut table = self.lock();
        let result = run(&mut table, Timer.now());
        self.in_use.store(!table.is_empty(), Ordering::Relaxed);
        result
    }

    fn reports(&self) -> Vec<PoisonReport> {
        self.lock().reports(Timer.now())
    }

    fn lock(&self) -> MutexGuard<'_, PoisonTable> {
        // Each step under the lock leaves the table consistent, so a poisoned lock is safe to use.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Records that a backend server ended while it ran a request, and tells other VMs.
    pub(super) fn strike(self: &Arc<Self>, fingerprint: Fingerprint, strike: Strike) {
        let is_new = self
            .poison
            .update(|table, now| table.strike(fingerprint, strike, now));
        if is_new {
            self.on_news(&[fingerprint], "this VM");
        }
    }

    /// Records that a backend server has run a request to its end.
    pub(super) fn absolve(self: &Arc<Self>, fingerprint: Fingerprint) {
        if self.poison.verdict(fingerprint) == Verdict::Harmless {
            return;
        }
        if self.poison.update(|table, _| table.absolve(fingerprint)) {
            self.on_news(&[fingerprint], "this VM");
        }
    }

    /// Adds what another VM knows, and returns what this one knows.
    pub(crate) fn exchange_poison(self: &Arc<Self>, reports: &[PoisonReport]) -> Vec<PoisonReport> {
        self.merge_reports(reports);
        self.poison.reports()
    }

    /// Exchanges what is known with other VMs, one at a time.
    pub(super) async fn exchange_periodically(self: Arc<Self>) {
        let started_at = Timer.now();
        let mut ticks = Timer.subscribe(EXCHANGE_PERIOD);
        loop {
            let now = ticks.next().await;
            self.poison.update(PoisonTable::expire);
            let is_starting = now.saturating_duration_since(started_at) < START_TIME;
            if is_starting || self.poison.in_use.load(Ordering::Relaxed) {
                self.exchange_with(1);
            }
        }
    }

    fn merge_reports(self: &Arc<Self>, reports: &[PoisonReport]) {
        if reports.is_empty() {
            return;
        }
        let news = self.poison.update(|table, now| table.merge(reports, now));
        if !news.is_empty() {
            self.on_news(&news, "another VM");
        }
    }

    /// Logs what is known of requests since something new was learned from `source`, and tells others.
    fn on_news(self: &Arc<Self>, news: &[Fingerprint], source: &str) {
        for fingerprint in news {
            self.node.metrics.count("gateway.poison_news");
            let verdict = match self.poison.verdict(*fingerprint) {
                Verdict::Harmless => "has run to its end and is harmless".to_owned(),
                Verdict::Suspect => "ended a server and is a suspect".to_owned(),
                Verdict::Poison(time) => {
                    format!(
                        "ended three servers and is refused for {} s",
                        time.as_secs()
                    )
                }
            };
            log::info!("gateway: Request {fingerprint} {verdict}, learned from {source}.");
        }
        self.exchange_with(FANOUT);
    }

    /// Exchanges what is known with some other VMs, chosen at random.
    fn exchange_with(self: &Arc<Self>, count: usize) {
        let view = self.node.control.snapshot();
        let chosen = view
            .answering_peers()
            .choose_multiple(&mut rand::rng(), count);
        for (vm, _) in chosen {
            let (gateway, view) = (Arc::clone(self), Arc::clone(&view));
            let vm = VmId::clone(vm);
            tokio::spawn(async move {
                let request = async {
                    let client = gateway.node.peers.client(&view, &vm).await?;
                    let context = peers::context_until(Timer.now() + EXCHANGE_TIMEOUT);
                    peers::exchange_poison(&client, context, gateway.poison.reports()).await
                };
                match request.await {
                    Ok(reports) => gateway.merge_reports(&reports),
                    Err(error) => {
                        log::debug!("gateway: VM {vm} exchanged no crashes: {error}.");
                        gateway.on_call_failed(&vm, &error);
                    }
                }
            });
        }
    }
}
