//! The VMs of a fleet under test.

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
    fleet::{CONFIG_HOST, VM_HOST, VMS_HOST, WAIT_STEP, host_number, vm_name},
    publish::centre_of,
    relay::{Partition, Relay},
};
use crate::{client::Reply, history::Target};

/// How long a process may take to stop gracefully.
const EXIT_LIMIT: Duration = Duration::from_mins(1);

impl Fleet {
    /// Starts a relay before each VM, if the settings ask for them.
    pub(super) async fn start_relays(&mut self) -> Result<(), HarnessError> {
        if !self.settings.relays {
            return Ok(());
        }
        for vm in 0..self.nodes.len() {
            let relay = Relay::start(self.peer_address(vm), self.listen_address(vm)).await?;
            self.relays.push(relay);
        }
        Ok(())
    }

    /// Loses what peers send to a VM, or what it replies to them, and records the disturbance.
    pub fn set_partition(&self, vm: usize, partition: Partition) {
        if partition == Partition::None {
            self.recorder.end_disturbance(&Target::Platform);
        } else {
            self.recorder.begin_disturbance(Target::Platform);
        }
        if let Some(relay) = self.relays.get(vm) {
            relay.set(partition);
        }
    }

    fn listen_address(&self, vm: usize) -> SocketAddr {
        let host = host_number(VM_HOST, vm);
        if self.settings.relays {
            self.network.behind_relay(host)
        } else {
            self.network.internal(host)
        }
    }

    /// Starts a VM's process, which may have run before.
    ///
    /// # Errors
    /// Returns why it cannot be started.
    pub fn start_vm(&mut self, vm: usize) -> Result<(), HarnessError> {
        // Nothing listens at the inner address of the configuration service.
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
        // A former process that still drains would hold the addresses.
        self.nodes[vm] = None;
        if let Some(settings) = settings.as_object_mut() {
            settings.extend(self.settings.vm_settings.clone());
        }
        let name = vm_name(vm);
        let path = self.write(&format!("{name}.json"), &settings)?;
        let args = ["--settings", &path.to_string_lossy()];
        let log = self.folder.join(format!("{name}.log"));
        let child = Child::start(&self.binaries.cassialift, &args, &log)?;
        self.nodes[vm] = Some(child);
        Ok(())
    }

    /// Waits until a VM answers callers.
    ///
    /// # Errors
    /// Returns that it does not in time.
    pub async fn wait_vm(&self, vm: usize) -> Result<(), HarnessError> {
        let address = self.vm_address(vm);
        self.wait_for(&vm_name(vm), async || {
            let reply = self.client.get(address, ADDRESSES_PATH).await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await?;
        self.recorder.end_disturbance(&Target::Process(address));
        Ok(())
    }

    /// Waits until the VMs together may use every slot of every backend server.
    ///
    /// # Errors
    /// Returns that it does not come about in time.
    pub async fn wait_slots_owned(&self) -> Result<(), HarnessError> {
        self.wait_for("owners of all slots", async || {
            self.unowned().await.is_some_and(|slots| slots == 0)
        })
        .await
    }

    /// Counts the slots that no VM may use; none when a VM does not tell or knows no server.
    async fn unowned(&self) -> Option<u64> {
        let mut owned: BTreeMap<String, u64> = BTreeMap::new();
        for vm in 0..self.nodes.len() {
            let status: Status = self.get(vm, STATUS_PATH).await.ok()?.parse().ok()?;
            for server in status.servers {
                *owned.entry(server.server).or_default() += u64::from(server.slots);
            }
        }
        let all = u64::from(self.settings.slots);
        let missing = owned.values().map(|slots| all.saturating_sub(*slots));
        (!owned.is_empty()).then(|| missing.sum())
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

    /// Returns the number of a VM's process; none when it was not started.
    #[must_use]
    pub fn pid(&self, vm: usize) -> Option<u32> {
        self.nodes[vm].as_ref().map(Child::pid)
    }

    /// Returns the addresses of all VMs.
    #[must_use]
    pub fn vm_addresses(&self) -> Vec<SocketAddr> {
        (0..self.nodes.len())
            .map(|vm| self.vm_address(vm))
            .collect()
    }

    /// Sends a signal to a VM's process and records what it disturbs.
    ///
    /// # Errors
    /// Returns why it cannot be sent.
    pub fn signal(&mut self, vm: usize, signal: Signal) -> Result<(), HarnessError> {
        let target = Target::Process(self.vm_address(vm));
        if matches!(signal, Signal::Kill | Signal::Stop) {
            self.recorder.begin_disturbance(target.clone());
        }
        if let Some(child) = &mut self.nodes[vm] {
            child.signal(signal)?;
        }
        if signal == Signal::Continue {
            self.recorder.end_disturbance(&target);
        }
        Ok(())
    }

    /// Returns whether a VM's process has ended.
    ///
    /// # Errors
    /// Returns why it cannot be asked.
    pub fn has_exited(&mut self, vm: usize) -> Result<bool, HarnessError> {
        match &mut self.nodes[vm] {
            Some(child) => Ok(child.exit_status()?.is_some()),
            None => Ok(true),
        }
    }

    /// Waits until a VM's process has ended, as it does some time after it was told to stop.
    ///
    /// # Errors
    /// Returns that it has not in time.
    pub async fn wait_exit(&mut self, vm: usize) -> Result<(), HarnessError> {
        let deadline = Instant::now() + EXIT_LIMIT;
        while !self.has_exited(vm)? {
            if Instant::now() >= deadline {
                return Err(HarnessError::TimedOut {
                    what: format!("the end of {}", vm_name(vm)),
                    logs: self.folder.clone(),
                });
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
        self.recorder
            .begin_disturbance(Target::Process(self.vm_address(vm)));
        Ok(())
    }

    /// Returns how a VM's process ended; none while it runs or before it was started.
    ///
    /// # Errors
    /// Returns why it cannot be asked.
    pub fn exit_status(&mut self, vm: usize) -> Result<Option<ExitStatus>, HarnessError> {
        match &mut self.nodes[vm] {
            Some(child) => Ok(child.exit_status()?),
            None => Ok(None),
        }
    }

    /// Makes a caller that knows all VMs.
    ///
    /// # Errors
    /// Returns what hinders its client.
    pub fn caller(&self, name: &str) -> Result<Caller, HarnessError> {
        let recorder = Arc::clone(&self.recorder);
        Ok(Caller::new(name, self.vm_addresses(), recorder)?)
    }

    /// Gets a page of a VM.
    ///
    /// # Errors
    /// Returns how the call failed.
    pub async fn get(&self, vm: usize, path: &str) -> Result<Reply, HarnessError> {
        Ok(self.client.get(self.vm_address(vm), path).await?)
    }
}
