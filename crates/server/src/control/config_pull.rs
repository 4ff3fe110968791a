//! Pulls the configuration from peers.

use std::{sync::Arc, time::Duration};

use cassialift_core::{
    config::PULL_RETRY_DELAY,
    ids::{Position, VmId},
};
use cassialift_wire::peer::{ConfigPull, ConfigPullReply};
use displaydoc::Display;

use super::{ConfigEvent, ControlHandle, Event};
use crate::{
    metrics::Metrics,
    peers::{PeerError, PeerTable, context_until},
    timer::Timer,
};

/// The time limit for a peer's reply with one page.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a pull brought nothing.
///
/// The comment of each variant is its text in log lines.
#[derive(Debug, Display)]
enum PullError {
    /// {0}
    Peer(PeerError),
    /// its documents changed between two pages
    Changed,
}

/// Pulls the configuration from a peer and passes the result to the control thread.
pub(super) async fn pull(
    vm: VmId,
    after: Position,
    peers: Arc<PeerTable>,
    control: ControlHandle,
    metrics: Arc<Metrics>,
) {
    let sent_at = Timer.now();
    let result = pull_pages(&peers, &control, &vm, after).await;
    let took = Timer.now().saturating_duration_since(sent_at);
    let reply = match result {
        Ok(reply) => {
            if took >= PULL_RETRY_DELAY {
                let texts = reply.documents.iter().flat_map(|document| &document.text);
                log::info!(
                    "config: A pull of the changes after {after} from {vm} took {} ms, {} bytes of documents.",
                    took.as_millis(),
                    texts.map(String::len).sum::<usize>()
                );
            }
            Some(reply)
        }
        Err(error) => {
            metrics.count("config.pull_failed");
            log::info!(
                "config: A pull of the changes after {after} from {vm} failed after {} ms: {error}.",
                took.as_millis()
            );
            None
        }
    };
    let event = ConfigEvent::PullEnded { vm, reply, sent_at };
    control.send(Event::Config(event)).await;
}

async fn pull_pages(
    peers: &PeerTable,
    control: &ControlHandle,
    vm: &VmId,
    after: Position,
) -> Result<ConfigPullReply, PullError> {
    let client = peers.client(&control.snapshot(), vm).await;
    let client = client.map_err(PullError::Peer)?;
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
                return Err(PullError::Peer(PeerError::Call(error)));
            }
        };
        let more = page.more;
        let pages = append(whole, page).ok_or(PullError::Changed)?;
        if !more {
            return Ok(pages);
        }
        whole = Some(pages);
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
