//! A fleet under test with its stand-ins.

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use cassialift_core::{ids::ServerId, index::IndexDocument, time::Millis};
use serde::Serialize;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::{
    Child, FleetSettings, HarnessError, JOB_SERVICE, Network, Recorder, SEARCH_SERVICE,
    binaries::Binaries, publish::index, relay::Relay,
};
use crate::{
    client::JsonClient,
    standin::{
        READY_PATH,
        backend::{BackendSettings, ProcessSettings},
    },
};

/// How long the harness waits for anything.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// How often it looks.
pub(super) const WAIT_STEP: Duration = Duration::from_millis(10);

/// The host of the configuration service.
pub(super) const CONFIG_HOST: u8 = 1;
/// The host of the VM list.
pub(super) const VMS_HOST: u8 = 2;
/// The first host of processes of backend servers.
pub(super) const BACKEND_HOST: u8 = 3;
/// The first host of the fleet's VMs.
pub(super) const VM_HOST: u8 = 20;
/// The first host of backend servers.
const SERVER_HOST: u8 = 80;

/// Bounds the fleets that run at once in one test program.
static FLEETS: Semaphore = Semaphore::const_new(4);

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A fleet, its stand-ins and the record of what happens; dropping it ends all its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The settings it was started with.
    pub settings: FleetSettings,
    /// The index document of the search service as it was last published.
    pub index: IndexDocument,
    /// The record of this test.
    pub recorder: Arc<Recorder>,
    pub(super) network: Network,
    pub(super) folder: PathBuf,
    pub(super) binaries: Binaries,
    pub(super) client: JsonClient,
    standins: Vec<Child>,
    pub(super) nodes: Vec<Option<Child>>,
    pub(super) relays: Vec<Relay>,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts the stand-ins, publishes the documents, starts the VMs and waits until each serves.
    ///
    /// # Errors
    /// Returns what could not be started.
    pub async fn start(settings: FleetSettings) -> Result<Self, HarnessError> {
        let permit = FLEETS.acquire().await.map_err(io::Error::other)?;
        let mut fleet = Self::prepare(settings, permit)?;
        fleet.start_standins()?;
        fleet.wait_standins().await?;
        fleet.publish_all().await?;
        fleet.set_vms(&[], Millis::default()).await?;
        fleet.start_relays().await?;
        for vm in 0..fleet.nodes.len() {
            fleet.start_vm(vm)?;
        }
        for vm in 0..fleet.nodes.len() {
            fleet.wait_vm(vm).await?;
        }
        Ok(fleet)
    }

    fn prepare(
        settings: FleetSettings,
        permit: SemaphorePermit<'static>,
    ) -> Result<Self, HarnessError> {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("cassialift-{}-{number}", process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let network = Network::allocate();
        let servers = servers(&settings, network, SEARCH_SERVICE);
        let nodes = settings.vms.iter().sum();
        Ok(Self {
            index: index(&settings, SEARCH_SERVICE, &servers, 1),
            recorder: Arc::default(),
            network,
            folder,
            binaries: Binaries::find()?,
            client: JsonClient::new(WAIT_LIMIT)?,
            standins: Vec::new(),
            nodes: (0..nodes).map(|_| None).collect(),
            settings,
            relays: Vec::new(),
            _permit: permit,
        })
    }

    fn start_standins(&mut self) -> Result<(), HarnessError> {
        for (kind, host) in [("config", CONFIG_HOST), ("vms", VMS_HOST)] {
            let address = self.network.public(host).to_string();
            self.start_standin(&[kind, &address], kind)?;
        }
        for host in 0..self.settings.backend_processes {
            let name = format!("backend-{host}");
            let path = self.write(&format!("{name}.json"), &self.host_settings(host))?;
            self.start_standin(&["backend", &path.to_string_lossy()], &name)?;
        }
        Ok(())
    }

    fn start_standin(&mut self, args: &[&str], name: &str) -> Result<(), HarnessError> {
        let log = self.folder.join(format!("{name}.log"));
        let child = Child::start(&self.binaries.standin, args, &log)?;
        self.standins.push(child);
        Ok(())
    }

    fn host_settings(&self, host: usize) -> ProcessSettings {
        let mut entries = Vec::new();
        for (service, time) in [
            (SEARCH_SERVICE, self.settings.search_time),
            (JOB_SERVICE, self.settings.job_time),
        ] {
            let servers = servers(&self.settings, self.network, service);
            for (position, (server, address)) in servers.into_iter().enumerate() {
                if position % self.settings.backend_processes != host {
                    continue;
                }
                entries.push(BackendSettings {
                    server,
                    service: service.into(),
                    address,
                    slots: self.settings.slots,
                    connections: self.settings.connections,
                    connect: self.settings.connect_delay,
                    time,
                    rows: self.recorder.lock().expected.row_count,
                    seed: self.settings.seed.wrapping_add(position as u64),
                    ..BackendSettings::default()
                });
            }
        }
        ProcessSettings {
            admin: Some(self.network.internal(host_number(BACKEND_HOST, host))),
            history: Some(self.history_path(host)),
            servers: entries,
        }
    }

    pub(super) fn history_path(&self, host: usize) -> PathBuf {
        self.folder.join(format!("history-{host}.jsonl"))
    }

    pub(super) fn write<T: Serialize>(
        &self,
        name: &str,
        value: &T,
    ) -> Result<PathBuf, HarnessError> {
        let path = self.folder.join(name);
        fs::write(&path, serde_json::to_vec(value)?)?;
        Ok(path)
    }

    async fn wait_standins(&self) -> Result<(), HarnessError> {
        let mut addresses = vec![
            self.network.public(CONFIG_HOST),
            self.network.public(VMS_HOST),
        ];
        let hosts = 0..self.settings.backend_processes;
        addresses.extend(hosts.map(|host| self.network.internal(host_number(BACKEND_HOST, host))));
        for address in addresses {
            self.wait_for("a stand-in", async || {
                self.client.get(address, READY_PATH).await.is_ok()
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    /// Returns that it did not come about in time.
    pub async fn wait_for(
        &self,
        what: &str,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<(), HarnessError> {
        let deadline = Instant::now() + WAIT_LIMIT;
        while !condition().await {
            if Instant::now() >= deadline {
                return Err(HarnessError::TimedOut {
                    what: what.to_owned(),
                    logs: self.folder.clone(),
                });
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        self.standins.clear();
        if std::thread::panicking() {
            return;
        }
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            log::warn!(
                "harness: {} cannot be removed: {error}.",
                self.folder.display()
            );
        }
    }
}

pub(super) fn vm_name(vm: usize) -> String {
    format!("vm-{vm}")
}

pub(super) fn host_number(first: u8, offset: usize) -> u8 {
    u8::try_from(offset).map_or(u8::MAX, |offset| first.saturating_add(offset))
}

/// Returns the backend servers of a service and their addresses.
pub(super) fn servers(
    settings: &FleetSettings,
    network: Network,
    service: &str,
) -> Vec<(ServerId, SocketAddr)> {
    let (first, count) = if service == JOB_SERVICE {
        (settings.servers, settings.job_servers)
    } else {
        (0, settings.servers)
    };
    (0..count)
        .map(|number| {
            let id = ServerId::from(format!("{service}-{number}"));
            (id, network.public(host_number(SERVER_HOST, first + number)))
        })
        .collect()
}
