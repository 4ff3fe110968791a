//! Pulls the configuration from peers.

use std::{sync::Arc, time::Duration};

use cassialift_core::ids::{Position, VmId};
use cassialift_wire::peer::{ConfigPull, ConfigPullReply};

use super::{ConfigEvent, ControlHandle, Event};
use crate::{
    peers::{PeerTable, context_until},
    timer::Timer,
};

/// The time limit for a peer's reply with one page.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pulls the configuration from a peer and passes the result to the control thread.
pub(super) async fn pull(vm: VmId, after: Position, peers: Arc<PeerTable>, control: ControlHandle) {
    let sent_at = Timer.now();
    let reply = pull_pages(&peers, &control, &vm, after).await;
    let event = ConfigEvent::PullEnded { vm, reply, sent_at };
    control.send(Event::Config(event)).await;
}

async fn pull_pages(
    peers: &PeerTable,
    control: &ControlHandle,
    vm: &VmId,
    after: Position,
) -> Option<ConfigPullReply> {
    let client = peers.client(&control.snapshot(), vm).await.ok()?;
    let mut whole: Option<ConfigPullReply> = None;
    loop {
        let skip = whole.as_ref().map_or(0, |whole| whole.documents.len());
        let context = context_until(Timer.now() + ANSWER_TIMEOUT);
        let result = client
            .pull_config(context, ConfigPull { after, skip })
            .await;
        let page = match result {
            Ok(page) => page,
            Err(error) => {
                peers.discard_broken(vm, &error);
                log::debug!("config: Pulling the configuration from {vm} failed: {error}.");
                return None;
            }
        };
        let more = page.more;
        whole = Some(append(whole, page)?);
        if !more {
            return whole;
        }
    }
}

/// Appends the next page to the previous ones; returns `None` if the peer's documents changed in
/// between or the page is empty.
fn append(whole: Option<ConfigPullReply>, page: ConfigPullReply) -> Option<ConfigPullReply> {
    let Some(mut whole) = whole else {
        return Some(page);
    };
    let is_same = whole.summary.position == page.summary.position
        && whole.summary.digest == page.summary.digest;
    if !is_same || page.documents.is_empty() {
        return None;
    }
    whole.documents.extend(page.documents);
    whole.retained = page.retained;
    Some(whole)
}
