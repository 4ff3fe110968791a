//! A relay before the peers' address of a VM that can lose what it carries.

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

/// The bytes that a relay reads at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a relay loses; connections stay open, as they do when packets are lost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Partition {
    /// Nothing.
    #[default]
    None,
    /// What is sent to the VM.
    Calls,
    /// What the VM replies.
    Replies,
    /// Both.
    Both,
}

/// A relay; dropping it ends its connections.
#[derive(Debug)]
pub(super) struct Relay {
    cut: watch::Sender<Partition>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay from one address to another.
    pub(super) async fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let (cut, watch) = watch::channel(Partition::None);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, to, watch.clone()));
            }
        });
        Ok(Self { cut, task })
    }

    pub(super) fn set(&self, cut: Partition) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(caller: TcpStream, to: SocketAddr, cut: watch::Receiver<Partition>) {
    let Ok(vm) = TcpStream::connect(to).await else {
        return;
    };
    let (caller_read, caller_write) = caller.into_split();
    let (vm_read, vm_write) = vm.into_split();
    let calls = copy(caller_read, vm_write, cut.clone(), Partition::Calls);
    let replies = copy(vm_read, caller_write, cut, Partition::Replies);
    tokio::select! {
        () = calls => {}
        () = replies => {}
    }
}

/// Copies one direction; holds back what comes while the direction is cut, as TCP does until the
/// loss is over.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<Partition>,
    direction: Partition,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let open = cut.wait_for(|cut| *cut != direction && *cut != Partition::Both);
        if open.await.is_err() {
            return;
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
