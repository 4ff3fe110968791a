//! Control of the platform and the backend servers of a fleet under test.

use std::{collections::BTreeMap, fs, path::Path, sync::Arc};

use cassialift_core::{
    ids::{IndexVersion, Revision, ServerId, VmId},
    index::{IndexDocument, ServerState},
    presets::Preset,
    time::Millis,
};
use cassialift_wire::platform::{VmEntry, VmList, VmState};

use super::{
    Fleet, HarnessError, JOB_SERVICE,
    fleet::{BACKEND_HOST, CONFIG_HOST, VM_HOST, VMS_HOST, host_number, server_addresses, vm_name},
    publish::{centre_of, index_document, index_edit, preset_edit},
};
use crate::{
    client::Reply,
    history::{DisturbanceTarget, History},
    standin::{
        backend::{self, BackendChange, BackendStats},
        config::{ConfigMode, ConfigStats, Edit, MODE_PATH, PUBLISH_PATH, STATS_PATH},
        vms::{self, VmChange},
    },
};

impl Fleet {
    pub(super) async fn publish_all(&mut self) -> Result<(), HarnessError> {
        let servers = server_addresses(&self.settings, self.network, JOB_SERVICE);
        let jobs = index_document(&self.settings, JOB_SERVICE, &servers, 1);
        let edits = vec![
            preset_edit("ordinary", &self.settings.preset)?,
            index_edit(&jobs)?,
            index_edit(&self.index)?,
        ];
        self.expect_index(&jobs);
        self.expect_index(&self.index);
        let revision = self.publish(edits).await?;
        self.expect_preset(revision, "ordinary");
        Ok(())
    }

    /// Adds the preset of a revision to the expectations that answers are checked against.
    fn expect_preset(&self, revision: Revision, name: &str) {
        let mut records = self.recorder.lock();
        records.expected.presets.insert(revision, name.into());
    }

    /// Adds an index document to the expectations that answers are checked against.
    fn expect_index(&self, index: &IndexDocument) {
        let mut records = self.recorder.lock();
        let versions = records.expected.indexes.entry(Arc::clone(&index.service));
        versions.or_default().insert(index.version, index.clone());
    }

    /// Publishes documents and returns their revision.
    ///
    /// # Errors
    /// Returns an error if the call fails or the service rejects them.
    pub async fn publish(&self, edits: Vec<Edit>) -> Result<Revision, HarnessError> {
        let address = self.network.public(CONFIG_HOST);
        let reply = self.client.post(address, PUBLISH_PATH, &edits).await?;
        let revision = reply.parse()?;
        let now = backend::unix_micros();
        self.recorder
            .lock()
            .expected
            .published_at
            .insert(revision, now);
        Ok(revision)
    }

    /// Publishes a preset under a name and makes it the active one.
    ///
    /// # Errors
    /// Returns an error if the call fails or the service rejects it.
    pub async fn publish_preset(
        &self,
        name: &str,
        preset: &Preset,
    ) -> Result<Revision, HarnessError> {
        let revision = self.publish(vec![preset_edit(name, preset)?]).await?;
        self.expect_preset(revision, name);
        Ok(revision)
    }

    /// Publishes a new index version after setting the versions that backend servers hold.
    ///
    /// # Errors
    /// Returns an error if a call fails or a stand-in rejects it.
    pub async fn publish_version(
        &mut self,
        version: IndexVersion,
        held_versions: &[IndexVersion],
    ) -> Result<Revision, HarnessError> {
        self.index.version = version;
        self.expect_index(&self.index);
        self.change_backends(&BackendChange {
            versions: Some(held_versions.to_vec()),
            ..BackendChange::default()
        })
        .await?;
        self.publish(vec![index_edit(&self.index)?]).await
    }

    /// Publishes the state of a backend server of the search service: serving or leaving.
    ///
    /// # Errors
    /// Returns an error if the call fails or the service rejects it.
    pub async fn publish_state(
        &mut self,
        server: &str,
        state: ServerState,
    ) -> Result<Revision, HarnessError> {
        let entries = self.index.servers.iter_mut();
        for entry in entries.filter(|entry| &*entry.id == server) {
            entry.state = state;
        }
        let target = DisturbanceTarget::Server(ServerId::from(server));
        let revision = self.publish(vec![index_edit(&self.index)?]).await?;
        match state {
            ServerState::Leaving => self.recorder.begin_disturbance(target),
            ServerState::Serving => self.recorder.end_disturbance(&target),
        }
        Ok(revision)
    }

    /// Sets how the configuration service answers.
    ///
    /// # Errors
    /// Returns an error if the call fails or the service rejects it.
    pub async fn set_config_mode(&self, mode: ConfigMode) -> Result<(), HarnessError> {
        let address = self.network.public(CONFIG_HOST);
        if mode == ConfigMode::Serving {
            self.recorder.end_disturbance(&DisturbanceTarget::Platform);
        } else {
            self.recorder.begin_disturbance(DisturbanceTarget::Platform);
        }
        require_ok(self.client.post(address, MODE_PATH, &mode).await?)
    }

    /// Returns the counters of the configuration service.
    ///
    /// # Errors
    /// Returns an error if the call fails or its reply cannot be parsed.
    pub async fn config_stats(&self) -> Result<ConfigStats, HarnessError> {
        let address = self.network.public(CONFIG_HOST);
        Ok(self.client.get(address, STATS_PATH).await?.parse()?)
    }

    /// Sets the VM list to all VMs, with the given ones marked as leaving; the list shows the change
    /// after `lag`.
    ///
    /// # Errors
    /// Returns an error if the call fails or the service rejects it.
    pub async fn set_vms(&self, leaving: &[usize], lag: Millis) -> Result<(), HarnessError> {
        let entry = |vm: usize| VmEntry {
            id: VmId::from(vm_name(vm)),
            centre: centre_of(&self.settings, vm),
            callers: self.vm_address(vm),
            peers: self.network.internal(host_number(VM_HOST, vm)),
            state: if leaving.contains(&vm) {
                VmState::Leaving
            } else {
                VmState::Live
            },
        };
        let vms = (0..self.vm_processes.len()).map(entry).collect();
        let change = VmChange {
            list: Some(VmList { vms }),
            lag,
            down: false,
        };
        let address = self.network.public(VMS_HOST);
        require_ok(self.client.post(address, vms::CHANGE_PATH, &change).await?)
    }

    /// Sets whether reads of the VM list fail.
    ///
    /// # Errors
    /// Returns an error if the call fails or the service rejects it.
    pub async fn set_vms_down(&self, down: bool) -> Result<(), HarnessError> {
        let change = VmChange {
            down,
            ..VmChange::default()
        };
        let address = self.network.public(VMS_HOST);
        require_ok(self.client.post(address, vms::CHANGE_PATH, &change).await?)
    }

    /// Applies a change to the backend servers of every backend process.
    ///
    /// # Errors
    /// Returns an error if a call fails or no process has the named server.
    pub async fn change_backends(&self, change: &BackendChange) -> Result<(), HarnessError> {
        let mut applied = false;
        for process in 0..self.settings.backend_processes {
            let address = self.network.internal(host_number(BACKEND_HOST, process));
            let path = backend::CHANGE_PATH;
            applied |= self.client.post(address, path, change).await?.status == 200;
        }
        if applied {
            Ok(())
        } else {
            Err(HarnessError::Rejected(format!("{change:?}")))
        }
    }

    /// Returns the counters of each backend server.
    ///
    /// # Errors
    /// Returns an error if a call fails or its reply cannot be parsed.
    pub async fn backend_stats(&self) -> Result<BTreeMap<ServerId, BackendStats>, HarnessError> {
        let mut stats = BTreeMap::new();
        for process in 0..self.settings.backend_processes {
            let address = self.network.internal(host_number(BACKEND_HOST, process));
            let reply = self.client.get(address, backend::STATS_PATH).await?;
            stats.append(&mut reply.parse()?);
        }
        Ok(stats)
    }

    /// Returns the history so far.
    ///
    /// # Errors
    /// Returns an error if a history file cannot be read or parsed.
    pub fn history(&self) -> Result<History, HarnessError> {
        let mut runs = Vec::new();
        for process in 0..self.settings.backend_processes {
            let text = fs::read_to_string(self.history_path(process))?;
            for line in text.lines() {
                runs.push(serde_json::from_str(line)?);
            }
        }
        let records = self.recorder.lock();
        Ok(History {
            expected: records.expected.clone(),
            calls: records.calls.clone(),
            runs,
            disturbances: records.disturbances.clone(),
        })
    }

    /// Returns the folder of the fleet's settings, logs and histories.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

/// Returns an error unless the stand-in accepted the request.
fn require_ok(reply: Reply) -> Result<(), HarnessError> {
    if reply.status == 200 {
        Ok(())
    } else {
        Err(HarnessError::Rejected(reply.text))
    }
}
