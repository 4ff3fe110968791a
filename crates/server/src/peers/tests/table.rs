//! Tests of the table of connections.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cassialift_core::{
    ids::VmId,
    view::{FleetView, MemberView, OwnView, OwnersView, Reachability},
};
use tokio::net::TcpListener;

use super::super::{PeerTable, PeerTraffic};

/// The time limit of a test on a busy machine.
pub(super) const LIMIT: Duration = Duration::from_secs(30);

pub(super) fn view(vm: &VmId, peers: SocketAddr) -> FleetView {
    let member = MemberView {
        incarnation: None,
        centre: "dc-0".into(),
        peers,
        callers: peers,
        capacity: 0,
        reachability: Reachability::Alive,
        detached: false,
        load: 0,
        alive_since: None,
    };
    FleetView {
        own: OwnView {
            vm: "vm-0".into(),
            incarnation: 1,
            centre: "dc-0".into(),
            leaving: false,
        },
        config: None,
        members: Arc::new([(VmId::clone(vm), Arc::new(member))].into()),
        owners: OwnersView::default(),
    }
}

/// Returns a peer's listener, its VM and a view of it.
async fn listening_peer() -> (TcpListener, VmId, FleetView) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let vm = VmId::from("vm-1");
    let view = view(&vm, listener.local_addr().unwrap());
    (listener, vm, view)
}

#[tokio::test]
async fn test_peer_table_replaces_a_connection_that_the_peer_has_ended() {
    let (listener, vm, view) = listening_peer().await;
    let table = PeerTable::new(Arc::new(PeerTraffic::default()));
    let first = table.client(&view, &vm).await.unwrap();
    drop(listener.accept().await.unwrap());
    let again = async {
        // The table notices that the connection closed a moment after the peer closed it.
        loop {
            table.client(&view, &vm).await.unwrap();
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        accepted = listener.accept() => drop(accepted.unwrap()),
        () = again => {}
        () = tokio::time::sleep(LIMIT) => panic!("the ended connection is still used"),
    }
    drop(first);
}

#[tokio::test(start_paused = true)]
async fn test_peer_table_replaces_a_connection_that_fell_silent() {
    let (listener, vm, view) = listening_peer().await;
    let table = PeerTable::new(Arc::new(PeerTraffic::default()));
    let client = table.client(&view, &vm).await.unwrap();
    // The peer accepts the connection and neither answers nor closes it.
    let _silent = listener.accept().await.unwrap();
    let mut context = tarpc::context::current();
    context.deadline = (tokio::time::Instant::now() + Duration::from_secs(1)).into_std();
    client.probe(context, "vm-2".into()).await.unwrap_err();
    table.client(&view, &vm).await.unwrap();
    let accepted = tokio::time::timeout(LIMIT, listener.accept()).await;
    assert!(accepted.is_ok(), "no new connection");
}
