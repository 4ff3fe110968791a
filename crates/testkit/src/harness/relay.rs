//! A TCP relay in front of a VM's peer address that can simulate a network partition.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// The most bytes that a relay reads at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The directions in which a relay delivers nothing; connections stay open, as they do when packets
/// are lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Partition {
    /// No partition; both directions are delivered.
    #[default]
    None,
    /// Calls to the VM.
    Calls,
    /// Replies of the VM.
    Replies,
    /// Calls and replies.
    Both,
}

/// A relay; dropping it stops it from accepting connections.
#[derive(Debug)]
pub(super) struct Relay {
    partition: watch::Sender<Partition>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay that listens on one address and connects to another.
    pub(super) async fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let (partition, watch) = watch::channel(Partition::None);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(stream, to, watch.clone()));
            }
        });
        Ok(Self { partition, task })
    }

    pub(super) fn set(&self, partition: Partition) {
        self.partition.send_replace(partition);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay_connection(
    caller: TcpStream,
    to: SocketAddr,
    partition: watch::Receiver<Partition>,
) {
    let Ok(vm) = TcpStream::connect(to).await else {
        return;
    };
    let (caller_read, caller_write) = caller.into_split();
    let (vm_read, vm_write) = vm.into_split();
    let calls = copy(caller_read, vm_write, partition.clone(), Partition::Calls);
    let replies = copy(vm_read, caller_write, partition, Partition::Replies);
    tokio::select! {
        () = calls => {}
        () = replies => {}
    }
}

/// Copies one direction of a connection; data that arrives during a partition of the direction is
/// delivered after the partition, as TCP delivers lost packets by sending them again.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut partition: watch::Receiver<Partition>,
    direction: Partition,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let connected = partition
            .wait_for(|partition| *partition != direction && *partition != Partition::Both);
        if connected.await.is_err() {
            return;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
