//! Sends heartbeats and indirect probes to peers.

use std::{io, sync::Arc, time::Duration};

use cassialift_core::{fleet::members::PingFailure, ids::VmId};
use cassialift_wire::peer::{Ping, PingReply};
use futures::future;
use tarpc::context;
use tokio::time::timeout;

use super::{ControlHandle, Event, FleetEvent};
use crate::{
    peers::{PeerError, PeerTable, is_broken},
    timer::Timer,
};

/// The time limit for a peer's answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which a heartbeat is sent on a new connection as well, since the first one may have
/// fallen silent.
const SECOND_ATTEMPT_DELAY: Duration = Duration::from_millis(250);

/// The time limit for an indirect probe: a heartbeat of another peer and the round trip to it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Sends a heartbeat, passes the result to the control thread, and returns whether it was answered.
pub(super) async fn send_heartbeat(
    vm: VmId,
    ping: Ping,
    peers: Arc<PeerTable>,
    control: ControlHandle,
) -> bool {
    let sent_at = Timer.now();
    let result = timeout(HEARTBEAT_TIMEOUT, exchange(&vm, &ping, &peers, &control)).await;
    let result = result.unwrap_or(Err(PingFailure::Timeout)).map(Box::new);
    let is_answered = result.is_ok();
    let heartbeat = Box::new(ping.heartbeat);
    let event = FleetEvent::PingEnded {
        vm,
        heartbeat,
        sent_at,
        result,
    };
    control.send(Event::Fleet(event)).await;
    is_answered
}

/// Sends a heartbeat, and once more on a new connection if the first connection breaks or stays
/// silent.
async fn exchange(
    vm: &VmId,
    ping: &Ping,
    peers: &PeerTable,
    control: &ControlHandle,
) -> Result<PingReply, PingFailure> {
    let mut first = Box::pin(attempt(vm, ping.clone(), peers, control));
    let ended = tokio::select! {
        result = &mut first => Some(result),
        () = Timer.after(SECOND_ATTEMPT_DELAY) => None,
    };
    let result = match ended {
        Some(Err(PeerError::Call(error))) if is_broken(&error) => {
            attempt(vm, ping.clone(), peers, control).await
        }
        Some(result) => result,
        None => {
            peers.discard(vm);
            let second = Box::pin(attempt(vm, ping.clone(), peers, control));
            // The first reply counts; the first attempt may only be slow.
            let replied = future::select_ok([first, second]).await;
            replied.map(|(reply, _)| reply)
        }
    };
    result.map_err(|error| failure(&error))
}

/// Sends a heartbeat once.
async fn attempt(
    vm: &VmId,
    ping: Ping,
    peers: &PeerTable,
    control: &ControlHandle,
) -> Result<PingReply, PeerError> {
    let client = peers.client(&control.snapshot(), vm).await?;
    let result = client.ping(context::current(), ping).await;
    result.map_err(|error| {
        peers.discard_broken(vm, &error);
        PeerError::Call(error)
    })
}

fn failure(error: &PeerError) -> PingFailure {
    match error {
        PeerError::Connect(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            PingFailure::Refused
        }
        PeerError::Connect(_)
        | PeerError::ConnectTimeout
        | PeerError::Unknown
        | PeerError::Call(_)
        | PeerError::MismatchedReply
        | PeerError::Outdated(_) => PingFailure::Timeout,
    }
}

/// Asks `via` to ping `target` and passes the result to the control thread.
pub(super) async fn send_probe(
    via: VmId,
    target: VmId,
    peers: Arc<PeerTable>,
    control: ControlHandle,
) {
    let request = async {
        let client = peers.client(&control.snapshot(), &via).await.ok()?;
        let reply = client.probe(context::current(), VmId::clone(&target)).await;
        reply.ok()
    };
    let reply = timeout(PROBE_TIMEOUT, request).await.ok().flatten();
    let answered = reply.is_some_and(|reply| reply.answered);
    let vm = target;
    let event = FleetEvent::ProbeEnded { vm, answered };
    control.send(Event::Fleet(event)).await;
}
