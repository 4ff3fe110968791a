//! The faults of a schedule and how each is injected and reverted.

use cassialift_core::{index::ServerState, time::Millis};
use cassialift_wire::backend::HealthState;

use crate::{
    harness::{Fleet, HarnessError, SEARCH_SERVICE, Signal},
    standin::{
        backend::{BackendChange, Fault, Faults},
        config::ConfigMode,
    },
};

/// A fault, which is reverted when its time is over; reports print the name of the variant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultAction {
    /// A VM's process is killed and is started again when the time is over.
    Kill(usize),
    /// A VM's process is frozen.
    Freeze(usize),
    /// A VM's process is asked to shut down gracefully and is started again when the time is over.
    Stop(usize),
    /// The configuration service fails every read.
    ConfigDown,
    /// The configuration service accepts reads but never answers them.
    ConfigHang,
    /// The configuration service answers as of its first revision.
    ConfigStale,
    /// Two presets are published in immediate succession.
    Presets,
    /// A new index version is published while backend servers hold the old one too.
    Version,
    /// The runs of a backend server take far longer.
    Straggler(usize),
    /// The runs of a backend server do not end.
    Hang(usize),
    /// A backend server leaves.
    Leave(usize),
    /// A backend server reports that it is leaving although it is not.
    Liar(usize),
    /// A share of a backend server's requests has a fault.
    Strike(usize, Fault),
}

impl FaultAction {
    /// Injects the fault.
    ///
    /// # Errors
    /// Returns an error if the harness cannot inject it.
    pub async fn inject(self, fleet: &mut Fleet) -> Result<(), HarnessError> {
        match self {
            Self::Kill(vm) => fleet.signal(vm, Signal::Kill),
            Self::Freeze(vm) => fleet.signal(vm, Signal::Stop),
            Self::Stop(vm) => {
                fleet.set_vms(&[vm], Millis::default()).await?;
                fleet.signal(vm, Signal::Terminate)
            }
            Self::ConfigDown => fleet.set_config_mode(ConfigMode::Down).await,
            Self::ConfigHang => fleet.set_config_mode(ConfigMode::Hanging).await,
            Self::ConfigStale => fleet.set_config_mode(ConfigMode::Stale(1)).await,
            Self::Presets => publish_presets(fleet).await,
            Self::Version => {
                let version = fleet.index.version + 1;
                fleet
                    .publish_version(version, &[version - 1, version])
                    .await?;
                Ok(())
            }
            Self::Leave(server) => {
                let name = server_name(server);
                fleet.publish_state(&name, ServerState::Leaving).await?;
                Ok(())
            }
            Self::Straggler(_) | Self::Hang(_) | Self::Liar(_) | Self::Strike(..) => {
                self.set_faults(fleet, self.faults()).await
            }
        }
    }

    /// Reverts the fault.
    ///
    /// # Errors
    /// Returns an error if the harness cannot revert it.
    pub async fn revert(self, fleet: &mut Fleet) -> Result<(), HarnessError> {
        match self {
            Self::Kill(vm) => restart(fleet, vm).await,
            Self::Stop(vm) => {
                fleet.wait_exit(vm).await?;
                fleet.set_vms(&[], Millis::default()).await?;
                restart(fleet, vm).await
            }
            Self::Freeze(vm) => fleet.signal(vm, Signal::Continue),
            Self::ConfigDown | Self::ConfigHang | Self::ConfigStale => {
                fleet.set_config_mode(ConfigMode::Serving).await
            }
            Self::Presets | Self::Version => Ok(()),
            Self::Leave(server) => {
                let name = server_name(server);
                fleet.publish_state(&name, ServerState::Serving).await?;
                Ok(())
            }
            Self::Straggler(_) | Self::Hang(_) | Self::Liar(_) | Self::Strike(..) => {
                self.set_faults(fleet, Faults::default()).await
            }
        }
    }

    /// Returns the kind and number of the fault's target; no two faults of a schedule have the same
    /// target at once.
    #[must_use]
    pub fn target(self) -> (&'static str, usize) {
        match self {
            Self::Kill(vm) | Self::Freeze(vm) | Self::Stop(vm) => ("vm", vm),
            Self::ConfigDown | Self::ConfigHang | Self::ConfigStale => ("config", 0),
            Self::Presets | Self::Version => ("documents", 0),
            Self::Straggler(server)
            | Self::Hang(server)
            | Self::Leave(server)
            | Self::Liar(server)
            | Self::Strike(server, _) => ("server", server),
        }
    }

    /// Returns the faults to set at the fault's backend server; none for other targets.
    fn faults(self) -> Faults {
        let none = Faults::default();
        match self {
            Self::Straggler(_) => Faults {
                slowdown: 50.0,
                ..none
            },
            Self::Hang(_) => Faults { hang: true, ..none },
            Self::Liar(_) => Faults {
                health: Some(HealthState::Leaving),
                ..none
            },
            Self::Strike(_, fault) => Faults {
                fault: Some(fault),
                share: 0.3,
                ..none
            },
            _ => none,
        }
    }

    async fn set_faults(self, fleet: &Fleet, faults: Faults) -> Result<(), HarnessError> {
        let (_, server) = self.target();
        let change = BackendChange {
            server: Some(server_name(server).into()),
            faults: Some(faults),
            ..BackendChange::default()
        };
        fleet.change_backends(&change).await
    }
}

async fn restart(fleet: &mut Fleet, vm: usize) -> Result<(), HarnessError> {
    fleet.start_vm(vm)?;
    fleet.wait_vm(vm).await
}

async fn publish_presets(fleet: &Fleet) -> Result<(), HarnessError> {
    let preset = fleet.settings.preset.clone();
    fleet.publish_preset("peak", &preset).await?;
    fleet.publish_preset("ordinary", &preset).await?;
    Ok(())
}

fn server_name(server: usize) -> String {
    format!("{SEARCH_SERVICE}-{server}")
}
