//! Discovers the fleet through seeds where no VM list names its members.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use cassialift_core::view::{FleetView, Reachability};
use tokio::time::timeout;

use super::{ControlHandle, Event, FleetEvent};
use crate::{
    peers::{PeerTable, PeerTraffic},
    timer::Timer,
};

/// The time between two rounds over the seeds while no peer is known.
const SEARCH_PERIOD: Duration = Duration::from_millis(200);

/// The time between two rounds once a peer is known. These rounds rejoin parts of a fleet that were
/// separated for so long that they no longer know each other's addresses.
const REJOIN_PERIOD: Duration = Duration::from_secs(2);

/// The time limit for a seed's reply.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends heartbeats to the seeds at which no member is known to answer, until the process ends.
pub(super) async fn run(seeds: Arc<ArcSwap<Vec<SocketAddr>>>, control: ControlHandle) {
    let peers = Arc::new(PeerTable::new(Arc::new(PeerTraffic::default())));
    loop {
        let view = control.snapshot();
        let seeds = unknown_seeds(&view, &seeds.load());
        let pings = seeds
            .into_iter()
            .map(|seed| ping_seed(seed, &peers, &control));
        futures::future::join_all(pings).await;
        let is_alone = control.snapshot().members.len() <= 1;
        let period = if is_alone {
            SEARCH_PERIOD
        } else {
            REJOIN_PERIOD
        };
        Timer.after(period).await;
    }
}

/// Returns the seeds whose address belongs neither to this VM nor to a peer that is known to
/// answer.
fn unknown_seeds(view: &FleetView, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let is_known = |seed: &SocketAddr| {
        view.members.iter().any(|(vm, member)| {
            let answers = matches!(
                member.reachability,
                Reachability::Alive | Reachability::Leaving
            );
            member.peers == *seed && (answers || *vm == view.own.vm)
        })
    };
    seeds
        .iter()
        .copied()
        .filter(|seed| !is_known(seed))
        .collect()
}

async fn ping_seed(seed: SocketAddr, peers: &PeerTable, control: &ControlHandle) {
    let Some(ping) = control.seed_ping().await else {
        return;
    };
    let sent_at = Timer.now();
    match timeout(PING_TIMEOUT, peers.ping_address(seed, *ping)).await {
        Ok(Ok(reply)) => {
            let reply = Box::new(reply);
            let event = FleetEvent::SeedReplied { sent_at, reply };
            control.send(Event::Fleet(event)).await;
        }
        Ok(Err(error)) => log::debug!("fleet: The heartbeat to the seed {seed} failed: {error}."),
        Err(_) => log::debug!("fleet: The heartbeat to the seed {seed} timed out."),
    }
}
