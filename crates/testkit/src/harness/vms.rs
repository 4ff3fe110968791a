//! Control of the VMs of a fleet under test.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitStatus,
    sync::Arc,
    time::{Duration, Instant},
};

use cassialift_wire::{
    caller::ADDRESSES_PATH,
    operator::{STATUS_PATH, Status},
};

use super::{
    Caller, Child, Fleet, HarnessError, Signal,
    fleet::{CONFIG_HOST, POLL_INTERVAL, VM_HOST, VMS_HOST, host_number, vm_name},
    publish::centre_of,
    relay::{Partition, Relay},
};
use crate::{client::Reply, history::DisturbanceTarget};

/// How long a process may take to shut down gracefully.
const EXIT_TIMEOUT: Duration = Duration::from_mins(1);

impl Fleet {
    /// Starts a relay in front of each VM if the settings ask for relays.
    pub(super) async fn start_relays(&mut self) -> Result<(), HarnessError> {
        if !self.settings.relays {
            return Ok(());
        }
        for vm in 0..self.vm_processes.len() {
            let relay = Relay::start(self.peer_address(vm), self.listen_address(vm)).await?;
            self.relays.push(relay);
        }
        Ok(())
    }

    /// Sets which calls and replies between a VM and its peers are held back, and records the
    /// disturbance or its end.
    pub fn set_partition(&self, vm: usize, partition: Partition) {
        if partition == Partition::None {
            self.recorder.end_disturbance(&DisturbanceTarget::Platform);
        } else {
            self.recorder.begin_disturbance(DisturbanceTarget::Platform);
        }
        if let Some(relay) = self.relays.get(vm) {
            relay.set(partition);
        }
    }

    /// Returns the address on which a VM listens for its peers, behind its relay if there is one.
    fn listen_address(&self, vm: usize) -> SocketAddr {
        let host = host_number(VM_HOST, vm);
        if self.settings.relays {
            self.network.behind_relay(host)
        } else {
            self.network.internal(host)
        }
    }

    /// Starts a VM's process; an earlier process of the VM is killed first.
    ///
    /// # Errors
    /// Returns an error if the settings cannot be written or the process cannot be started.
    pub fn start_vm(&mut self, vm: usize) -> Result<(), HarnessError> {
        // Nothing listens at the internal address of the configuration service.
        let config = if self.settings.config_blocked.contains(&vm) {
            self.network.internal(CONFIG_HOST)
        } else {
            self.network.public(CONFIG_HOST)
        };
        let mut settings = serde_json::json!({
            "vm": vm_name(vm),
            "centre": centre_of(&self.settings, vm),
            "callers": self.vm_address(vm),
            "peers": self.peer_address(vm),
            "listen": self.listen_address(vm),
            "platform": {
                "config": config,
                "vms": self.network.public(VMS_HOST),
            },
        });
        // An earlier process that is still draining would keep the addresses in use.
        self.vm_processes[vm] = None;
        if let Some(settings) = settings.as_object_mut() {
            settings.extend(self.settings.vm_settings.clone());
        }
        let name = vm_name(vm);
        let path = self.write(&format!("{name}.json"), &settings)?;
        let args = ["--settings", &path.to_string_lossy()];
        let log = self.folder.join(format!("{name}.log"));
        let child = Child::start(&self.binaries.cassialift, &args, &log)?;
        self.vm_processes[vm] = Some(child);
        Ok(())
    }

    /// Waits until a VM serves callers.
    ///
    /// # Errors
    /// Returns an error if the VM does not serve callers in time.
    pub async fn wait_vm(&self, vm: usize) -> Result<(), HarnessError> {
        let address = self.vm_address(vm);
        self.wait_for(&vm_name(vm), async || {
            let reply = self.client.get(address, ADDRESSES_PATH).await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await?;
        self.recorder
            .end_disturbance(&DisturbanceTarget::Process(address));
        Ok(())
    }

    /// Waits until the VMs together own every slot of every backend server.
    ///
    /// # Errors
    /// Returns an error if some slots are not owned in time.
    pub async fn wait_slots_owned(&self) -> Result<(), HarnessError> {
        self.wait_for("owners of all slots", async || {
            self.unowned_slots().await.is_some_and(|slots| slots == 0)
        })
        .await
    }

    /// Returns the number of slots that no VM owns; `None` if a VM's status cannot be read or no VM
    /// knows a server.
    async fn unowned_slots(&self) -> Option<u64> {
        let mut owned_slots: BTreeMap<String, u64> = BTreeMap::new();
        for vm in 0..self.vm_processes.len() {
            let status: Status = self.get(vm, STATUS_PATH).await.ok()?.parse().ok()?;
            for server in status.servers {
                *owned_slots.entry(server.server).or_default() += u64::from(server.slots);
            }
        }
        let total = u64::from(self.settings.slots);
        let missing = owned_slots
            .values()
            .map(|slots| total.saturating_sub(*slots));
        (!owned_slots.is_empty()).then(|| missing.sum())
    }

    /// Returns the address at which a VM serves callers.
    #[must_use]
    pub fn vm_address(&self, vm: usize) -> SocketAddr {
        self.network.public(host_number(VM_HOST, vm))
    }

    /// Returns the address at which a VM serves its peers.
    #[must_use]
    pub fn peer_address(&self, vm: usize) -> SocketAddr {
        self.network.internal(host_number(VM_HOST, vm))
    }

    /// Returns the id of a VM's process; `None` if it was not started.
    #[must_use]
    pub fn pid(&self, vm: usize) -> Option<u32> {
        self.vm_processes[vm].as_ref().map(Child::pid)
    }

    /// Returns the addresses at which all VMs serve callers.
    #[must_use]
    pub fn vm_addresses(&self) -> Vec<SocketAddr> {
        (0..self.vm_processes.len())
            .map(|vm| self.vm_address(vm))
            .collect()
    }

    /// Sends a signal to a VM's process and records the disturbance that it begins or ends.
    ///
    /// # Errors
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&mut self, vm: usize, signal: Signal) -> Result<(), HarnessError> {
        let target = DisturbanceTarget::Process(self.vm_address(vm));
        if matches!(signal, Signal::Kill | Signal::Stop) {
            self.recorder.begin_disturbance(target.clone());
        }
        if let Some(child) = &mut self.vm_processes[vm] {
            child.signal(signal)?;
        }
        if signal == Signal::Continue {
            self.recorder.end_disturbance(&target);
        }
        Ok(())
    }

    /// Returns whether a VM's process has exited or was never started.
    ///
    /// # Errors
    /// Returns an error if the status of the process cannot be read.
    pub fn has_exited(&mut self, vm: usize) -> Result<bool, HarnessError> {
        match &mut self.vm_processes[vm] {
            Some(child) => Ok(child.exit_status()?.is_some()),
            None => Ok(true),
        }
    }

    /// Waits until a VM's process has exited, which takes some time after SIGTERM, and records that
    /// its address is disturbed from now on.
    ///
    /// # Errors
    /// Returns an error if the process does not exit in time.
    pub async fn wait_exit(&mut self, vm: usize) -> Result<(), HarnessError> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        while !self.has_exited(vm)? {
            if Instant::now() >= deadline {
                return Err(HarnessError::TimedOut {
                    what: format!("the exit of {}", vm_name(vm)),
                    logs: self.folder.clone(),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.recorder
            .begin_disturbance(DisturbanceTarget::Process(self.vm_address(vm)));
        Ok(())
    }

    /// Returns the exit status of a VM's process; `None` while it runs or before it was started.
    ///
    /// # Errors
    /// Returns an error if the status cannot be read.
    pub fn exit_status(&mut self, vm: usize) -> Result<Option<ExitStatus>, HarnessError> {
        match &mut self.vm_processes[vm] {
            Some(child) => Ok(child.exit_status()?),
            None => Ok(None),
        }
    }

    /// Creates a caller that knows all VMs.
    ///
    /// # Errors
    /// Returns an error if its HTTP client cannot be created.
    pub fn caller(&self, name: &str) -> Result<Caller, HarnessError> {
        let recorder = Arc::clone(&self.recorder);
        Ok(Caller::new(name, self.vm_addresses(), recorder)?)
    }

    /// Sends a GET request for `path` to the address at which a VM serves callers.
    ///
    /// # Errors
    /// Returns an error if the call fails.
    pub async fn get(&self, vm: usize, path: &str) -> Result<Reply, HarnessError> {
        Ok(self.client.get(self.vm_address(vm), path).await?)
    }
}
