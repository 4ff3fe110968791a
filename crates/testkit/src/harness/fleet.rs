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
    binaries::Binaries, publish::index_document, relay::Relay,
};
use crate::{
    client::JsonClient,
    standin::{
        READY_PATH,
        backend::{BackendSettings, ProcessSettings},
    },
};

/// How long the harness waits for a condition or a reply.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the harness waits between two checks of a condition.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The host number of the configuration service.
pub(super) const CONFIG_HOST: u8 = 1;
/// The host number of the VM list.
pub(super) const VMS_HOST: u8 = 2;
/// The host number of the first backend process.
pub(super) const BACKEND_HOST: u8 = 3;
/// The host number of the fleet's first VM.
pub(super) const VM_HOST: u8 = 20;
/// The host number of the first backend server.
const SERVER_HOST: u8 = 80;

/// Permits for fleets; at most four run at once in one test program.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(4);

/// The number of the next fleet's folder.
static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A fleet with its stand-ins and the record of its test; dropping it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The settings that the fleet was started with.
    pub settings: FleetSettings,
    /// The latest published index document of the search service.
    pub index: IndexDocument,
    /// The record of the calls and disturbances of this test.
    pub recorder: Arc<Recorder>,
    pub(super) network: Network,
    pub(super) folder: PathBuf,
    pub(super) binaries: Binaries,
    pub(super) client: JsonClient,
    standins: Vec<Child>,
    /// The process of each VM; `None` before it was started.
    pub(super) vm_processes: Vec<Option<Child>>,
    pub(super) relays: Vec<Relay>,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts the stand-ins, publishes the documents, starts the VMs and waits until each VM serves
    /// callers.
    ///
    /// # Errors
    /// Returns an error if a process cannot be started or is not ready in time.
    pub async fn start(settings: FleetSettings) -> Result<Self, HarnessError> {
        let permit = FLEET_PERMITS.acquire().await.map_err(io::Error::other)?;
        let mut fleet = Self::prepare(settings, permit)?;
        fleet.start_standins()?;
        fleet.wait_standins().await?;
        fleet.publish_all().await?;
        fleet.set_vms(&[], Millis::default()).await?;
        fleet.start_relays().await?;
        for vm in 0..fleet.vm_processes.len() {
            fleet.start_vm(vm)?;
        }
        for vm in 0..fleet.vm_processes.len() {
            fleet.wait_vm(vm).await?;
        }
        Ok(fleet)
    }

    fn prepare(
        settings: FleetSettings,
        permit: SemaphorePermit<'static>,
    ) -> Result<Self, HarnessError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("cassialift-{}-{number}", process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let network = Network::allocate();
        let servers = server_addresses(&settings, network, SEARCH_SERVICE);
        let vm_count = settings.vms.iter().sum();
        Ok(Self {
            index: index_document(&settings, SEARCH_SERVICE, &servers, 1),
            recorder: Arc::default(),
            network,
            folder,
            binaries: Binaries::find()?,
            client: JsonClient::new(WAIT_TIMEOUT)?,
            standins: Vec::new(),
            vm_processes: (0..vm_count).map(|_| None).collect(),
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
        for process in 0..self.settings.backend_processes {
            let name = format!("backend-{process}");
            let path = self.write(&format!("{name}.json"), &self.process_settings(process))?;
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

    fn process_settings(&self, process: usize) -> ProcessSettings {
        let mut servers = Vec::new();
        for (service, time) in [
            (SEARCH_SERVICE, self.settings.search_time),
            (JOB_SERVICE, self.settings.job_time),
        ] {
            let addresses = server_addresses(&self.settings, self.network, service);
            for (position, (server, address)) in addresses.into_iter().enumerate() {
                if position % self.settings.backend_processes != process {
                    continue;
                }
                servers.push(BackendSettings {
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
            admin: Some(self.network.internal(host_number(BACKEND_HOST, process))),
            history: Some(self.history_path(process)),
            servers,
        }
    }

    pub(super) fn history_path(&self, process: usize) -> PathBuf {
        self.folder.join(format!("history-{process}.jsonl"))
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
        let processes = 0..self.settings.backend_processes;
        addresses.extend(
            processes.map(|process| self.network.internal(host_number(BACKEND_HOST, process))),
        );
        for address in addresses {
            self.wait_for("a stand-in", async || {
                self.client.get(address, READY_PATH).await.is_ok()
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a condition holds; `what` names it in the error.
    ///
    /// # Errors
    /// Returns an error if the condition does not hold in time.
    pub async fn wait_for(
        &self,
        what: &str,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<(), HarnessError> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition().await {
            if Instant::now() >= deadline {
                return Err(HarnessError::TimedOut {
                    what: what.to_owned(),
                    logs: self.folder.clone(),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vm_processes.clear();
        self.standins.clear();
        if std::thread::panicking() {
            return;
        }
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            log::warn!("harness: Cannot remove {}: {error}.", self.folder.display());
        }
    }
}

pub(super) fn vm_name(vm: usize) -> String {
    format!("vm-{vm}")
}

pub(super) fn host_number(first: u8, offset: usize) -> u8 {
    u8::try_from(offset).map_or(u8::MAX, |offset| first.saturating_add(offset))
}

/// Returns the backend servers of a service with their addresses.
pub(super) fn server_addresses(
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
