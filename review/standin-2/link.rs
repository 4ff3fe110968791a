//! The link between the machines and a leaf, which can be cut: open connections are then reset, and new ones
//! are refused.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::machine::free_ports;

pub struct Link {
    pub address: String,
    behind: String,
    is_cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn open(behind: &str) -> Arc<Self> {
        let link = Arc::new(Self {
            address: format!("127.0.0.1:{}", free_ports(1)[0]),
            behind: behind.to_owned(),
            is_cut: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        link.listen();
        link
    }

    /// Cuts the link.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        drop(TcpStream::connect(&self.address));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends the cut.
    pub fn heal(self: &Arc<Self>) {
        self.is_cut.store(false, Ordering::SeqCst);
        self.listen();
    }

    fn listen(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(&self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        let link = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if link.is_cut.load(Ordering::SeqCst) {
                    return;
                }
                link.join(stream);
            }
        });
    }

    fn join(&self, near: TcpStream) {
        let Ok(far) = TcpStream::connect(&self.behind) else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ends = (
            near.try_clone(),
            far.try_clone(),
            near.try_clone(),
            far.try_clone(),
        );
        let (Ok(near_again), Ok(far_again), Ok(near_handle), Ok(far_handle)) = ends else {
            return;
        };
        let mut streams = self.streams.lock().unwrap();
        streams.retain(|stream| stream.peer_addr().is_ok());
        streams.extend([near_handle, far_handle]);
        thread::spawn(move || copy(near, far));
        thread::spawn(move || copy(far_again, near_again));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer)
        && count > 0
        && to.write_all(&buffer[..count]).is_ok()
    {}
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
