//! Reads the VM list.

use std::{sync::Arc, time::Duration};

use super::{ControlHandle, Event, FleetEvent};
use crate::{metrics::Metrics, platform::PlatformClient, timer::Timer};

/// The minimum time between two reads, and the time after a failed read.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// The time between two reads, for each VM on the list. An entry takes about 150 bytes, so reading
/// costs at most 2,000 bytes a second for any fleet size. Heartbeats spread changes that the list
/// reports late.
const PERIOD_PER_VM: Duration = Duration::from_millis(75);

/// Reads the VM list until the process ends.
pub(super) async fn run(platform: PlatformClient, control: ControlHandle, metrics: Arc<Metrics>) {
    loop {
        let mut period = READ_PERIOD;
        match platform.vms().await {
            Ok(list) => {
                let count = u32::try_from(list.vms.len()).unwrap_or(u32::MAX);
                period = period.max(PERIOD_PER_VM.saturating_mul(count));
                let event = FleetEvent::VmsListed(list);
                control.send(Event::Fleet(event)).await;
            }
            Err(error) => {
                metrics.count("platform.vms_failed");
                log::warn!("platform: Reading the VM list failed: {error}.");
            }
        }
        Timer.after(period).await;
    }
}
