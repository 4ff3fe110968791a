//! Tests of the socket options of connections.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Component, Path, PathBuf},
};

use tokio::net::TcpListener;

use super::{accept, connect};

#[tokio::test]
async fn test_sockets_set_nodelay() {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let opened = connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, peer) = accept(&listener).await.unwrap();
    assert_eq!(peer, opened.local_addr().unwrap());
    assert!(opened.nodelay().unwrap());
    assert!(accepted.nodelay().unwrap());
}

/// Connections that are opened or accepted elsewhere would lack `TCP_NODELAY`.
#[test]
fn test_sockets_are_opened_here_only() {
    let mut folders = vec![PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/src"))];
    let mut others = Vec::new();
    while let Some(folder) = folders.pop() {
        let entries = fs::read_dir(folder).unwrap();
        for path in entries.map(|entry| entry.unwrap().path()) {
            if path.is_dir() {
                folders.push(path);
            } else if !is_exempt(&path) && opens(&fs::read_to_string(&path).unwrap()) {
                others.push(path);
            }
        }
    }
    assert!(others.is_empty(), "{others:?}");
}

fn is_exempt(path: &Path) -> bool {
    let mut parts = path.components().map(Component::as_os_str);
    parts.any(|part| part == "tests" || part == "tests.rs" || part == "sockets")
}

fn opens(text: &str) -> bool {
    text.contains("TcpStream::connect(") || text.contains("listener.accept(")
}
