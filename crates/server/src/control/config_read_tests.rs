//! Tests of the task that reads the configuration service.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use cassialift_core::{
    config::{ANSWER_TIMEOUT, ConfigNode, ReadPlan, ReadSettings},
    ids::{DataCentre, Position, Revision, VmId},
    time::Millis,
    view::{FleetView, OwnView, OwnersView},
};
use cassialift_wire::platform::{Changes, ChangesFuture, ConfigSource, ConfigSourceError};
use tokio::sync::mpsc;

use super::{ConfigState, ControlHandle, config_read};
use crate::{metrics::Metrics, timer::Timer};

/// The longest wait of an elected reader's read.
const WATCH: Duration = Duration::from_millis(1_500);
/// The number of changes in an answer that leaves out further ones.
const CUT_ANSWER_CHANGES: u64 = 500;

/// A service that treats the first reads in another way.
#[derive(Clone, Debug, Default)]
struct Source {
    /// The number of reads that get no answer.
    silent_reads: usize,
    /// The number of reads whose answers leave out further changes.
    cut_reads: usize,
    /// The revision and the wait that each read so far requested.
    reads: Arc<Mutex<Vec<(Revision, Duration)>>>,
}

impl ConfigSource for Source {
    fn changes(&self, after: Position, wait: Duration) -> ChangesFuture<'_> {
        Box::pin(async move {
            let reads = {
                let mut reads = self.reads.lock().unwrap();
                reads.push((after.revision, wait));
                reads.len()
            };
            if reads <= self.silent_reads {
                Timer.after(wait + ANSWER_TIMEOUT).await;
                return Err(ConfigSourceError("no answer".into()));
            }
            let more = reads <= self.cut_reads;
            if !more {
                Timer.after(wait).await;
            }
            Ok(Changes {
                epoch: after.epoch,
                revision: after.revision + if more { CUT_ANSWER_CHANGES } else { 0 },
                complete: false,
                more,
                documents: Vec::new(),
            })
        })
    }
}

/// Returns a process that has just started, is alone and so is elected as a reader.
fn elected_node(reads: ReadSettings) -> ConfigNode {
    let (vm, centre) = (VmId::from("vm-0"), DataCentre::from("dc-a"));
    let mut node = ConfigNode::new(vm, centre, reads, 1, Timer.now());
    node.tick(Timer.now());
    assert_eq!(node.plan(), ReadPlan::Watch);
    node
}

/// Returns a handle to a process in this state, which ignores all events.
fn control(node: &ConfigNode) -> ControlHandle {
    let own = OwnView {
        vm: VmId::from("vm-0"),
        incarnation: 1,
        centre: DataCentre::from("dc-a"),
        leaving: false,
    };
    let (events, mut received) = mpsc::channel(16);
    tokio::spawn(async move { while received.recv().await.is_some() {} });
    ControlHandle {
        view: Arc::new(ArcSwap::from_pointee(FleetView {
            own,
            config: None,
            members: Arc::default(),
            owners: OwnersView::default(),
        })),
        config: Arc::new(ArcSwap::from_pointee(ConfigState::new(node, Timer.now()))),
        events,
        detached: Arc::default(),
    }
}

/// Returns the revisions and the waits of the reads of an elected reader within a time.
async fn reads_of(source: Source, time: Duration) -> Vec<(Revision, Duration)> {
    let reads = ReadSettings {
        wait: Millis::new(3_000),
        ..ReadSettings::default()
    };
    let control = control(&elected_node(reads));
    let done = Arc::clone(&source.reads);
    let metrics = Arc::new(Metrics::new(None).unwrap());
    let task = config_read::run(Arc::new(source), reads, control, metrics);
    drop(tokio::time::timeout(time, task).await);
    let done = done.lock().unwrap();
    done.clone()
}

#[tokio::test(start_paused = true)]
async fn test_read_after_one_without_an_answer_does_not_wait() {
    let source = Source {
        silent_reads: 2,
        ..Source::default()
    };
    let reads = reads_of(source, Duration::from_secs(6)).await;
    let waits: Vec<Duration> = reads.iter().map(|(_, wait)| *wait).collect();
    assert_eq!(waits[..4], [WATCH, Duration::ZERO, Duration::ZERO, WATCH]);
}

/// The control thread may not have applied the changes of an answer yet when the next read is sent.
#[tokio::test(start_paused = true)]
async fn test_read_after_a_cut_answer_follows_at_once_from_its_revision() {
    let source = Source {
        cut_reads: 3,
        ..Source::default()
    };
    let reads = reads_of(source, Duration::from_millis(1)).await;
    let at_once = Duration::ZERO;
    assert_eq!(
        reads,
        [
            (0, WATCH),
            (500, at_once),
            (1_000, at_once),
            (1_500, at_once)
        ]
    );
}

/// A process that reads for want of an elected reader stops after each answer, and its next turn may come
/// before its period has passed.
#[tokio::test(start_paused = true)]
async fn test_read_of_a_process_that_is_to_read_again_does_not_wait_for_its_period() {
    let reads = ReadSettings {
        wait: Millis::default(),
        period: Millis::new(10_000),
        ..ReadSettings::default()
    };
    let node = elected_node(reads);
    let control = control(&node);
    let source = Source::default();
    let done = Arc::clone(&source.reads);
    let metrics = Arc::new(Metrics::new(None).unwrap());
    tokio::spawn(config_read::run(
        Arc::new(source),
        reads,
        control.clone(),
        metrics,
    ));
    for reads in 1..=3 {
        Timer.after(Duration::from_secs(1)).await;
        assert_eq!(done.lock().unwrap().len(), reads);
        control.config.store(Arc::default());
        Timer.after(Duration::from_millis(200)).await;
        let state = ConfigState::new(&node, Timer.now());
        control.config.store(Arc::new(state));
    }
}
