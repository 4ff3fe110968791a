//! Tests of the task that reads the configuration service.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use cassialift_core::{
    config::{ANSWER_TIMEOUT, ConfigNode, ReadPlan, ReadSettings},
    ids::{DataCentre, Position, VmId},
    time::Millis,
    view::{FleetView, OwnView, OwnersView},
};
use cassialift_wire::platform::{Changes, ChangesFuture, ConfigSource, ConfigSourceError};
use tokio::sync::mpsc;

use super::{ConfigState, ControlHandle, config_read};
use crate::{metrics::Metrics, timer::Timer};

/// A service that gives no answer for the first reads.
#[derive(Debug)]
struct SilentSource {
    /// The number of reads that get no answer.
    silent_reads: usize,
    /// The wait that each read so far requested.
    waits: Arc<Mutex<Vec<Duration>>>,
}

impl ConfigSource for SilentSource {
    fn changes(&self, after: Position, wait: Duration) -> ChangesFuture<'_> {
        Box::pin(async move {
            let reads = {
                let mut waits = self.waits.lock().unwrap();
                waits.push(wait);
                waits.len()
            };
            if reads <= self.silent_reads {
                Timer.after(wait + ANSWER_TIMEOUT).await;
                return Err(ConfigSourceError("no answer".into()));
            }
            Timer.after(wait).await;
            Ok(Changes {
                epoch: after.epoch,
                revision: after.revision,
                complete: false,
                documents: Vec::new(),
            })
        })
    }
}

/// Returns the waits of the reads of an elected reader within a time.
async fn waits_of_reads(silent_reads: usize, time: Duration) -> Vec<Duration> {
    let reads = ReadSettings {
        wait: Millis::new(3_000),
        ..ReadSettings::default()
    };
    let own = OwnView {
        vm: VmId::from("vm-0"),
        incarnation: 1,
        centre: DataCentre::from("dc-a"),
        leaving: false,
    };
    let (vm, centre) = (VmId::clone(&own.vm), DataCentre::clone(&own.centre));
    let mut node = ConfigNode::new(vm, centre, reads, own.incarnation, Timer.now());
    node.tick(Timer.now());
    assert_eq!(node.plan(), ReadPlan::Watch);
    let (events, mut received) = mpsc::channel(16);
    let control = ControlHandle {
        view: Arc::new(ArcSwap::from_pointee(FleetView {
            own,
            config: None,
            members: Arc::default(),
            owners: OwnersView::default(),
        })),
        config: Arc::new(ArcSwap::from_pointee(ConfigState::new(&node, Timer.now()))),
        events,
        detached: Arc::default(),
    };
    tokio::spawn(async move { while received.recv().await.is_some() {} });
    let waits: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let source = SilentSource {
        silent_reads,
        waits: Arc::clone(&waits),
    };
    let metrics = Arc::new(Metrics::new(None).unwrap());
    let task = config_read::run(Arc::new(source), reads, control, metrics);
    drop(tokio::time::timeout(time, task).await);
    let waits = waits.lock().unwrap();
    waits.clone()
}

#[tokio::test(start_paused = true)]
async fn test_read_after_one_without_an_answer_does_not_wait() {
    let waits = waits_of_reads(2, Duration::from_secs(6)).await;
    let watch = Duration::from_millis(1_500);
    assert_eq!(waits[..4], [watch, Duration::ZERO, Duration::ZERO, watch]);
}
