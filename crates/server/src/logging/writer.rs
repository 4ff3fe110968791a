//! A writer that hands lines to a thread and never waits for it.

use std::{
    io::{self, Write},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// How long the thread collects lines before it writes them: few wake-ups, and lines still appear
/// while an operator watches.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// How long a process that ends waits for its last lines.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Sends to the thread of the process's log.
static SENDER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// The lines that were not written since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were not written since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Whether a line gives way to others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Importance {
    /// It tells of a request that went well.
    Routine,
    /// It tells of a failure, or of what the process believes.
    Essential,
}

impl Importance {
    /// Returns the byte that stands before a line of this importance.
    pub(super) const fn byte(self) -> u8 {
        match self {
            Self::Routine => b'r',
            Self::Essential => b'e',
        }
    }

    const fn from_byte(byte: u8) -> Self {
        match byte {
            b'r' => Self::Routine,
            _ => Self::Essential,
        }
    }
}

/// Bounds on the volume of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogBounds {
    /// The lines that may wait for the thread.
    pub(super) queued: usize,
    /// The lines a second, over a second or more.
    pub(super) rate: u32,
    /// Those of them that are kept for essential lines.
    pub(super) reserved: u32,
}

impl Default for LogBounds {
    /// A few lines for each request of a VM that is fully loaded, some tens of kilobytes a second.
    fn default() -> Self {
        Self {
            queued: 2_000,
            rate: 400,
            reserved: 200,
        }
    }
}

/// What the thread is handed.
enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Hands lines to a thread and never waits for it.
pub(super) struct LineWriter {
    sender: SyncSender<Message>,
    bounds: LogBounds,
    /// When the present second began, and the lines in it.
    window: (Instant, u32),
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread that writes to `out`.
    pub(super) fn start(bounds: LogBounds, out: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(bounds.queued);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&receiver, &counted, out));
        if spawned.is_ok() {
            SENDER.get_or_init(|| sender.clone());
        }
        Self {
            sender,
            bounds,
            window: (Instant::now(), 0),
            dropped,
        }
    }

    fn admits(&mut self, importance: Importance) -> bool {
        let now = Instant::now();
        if now.saturating_duration_since(self.window.0) >= Duration::from_secs(1) {
            self.window = (now, 0);
        }
        let limit = match importance {
            Importance::Routine => self.bounds.rate.saturating_sub(self.bounds.reserved),
            Importance::Essential => self.bounds.rate,
        };
        let admitted = self.window.1 < limit;
        self.window.1 += u32::from(admitted);
        admitted
    }
}

impl Write for LineWriter {
    /// Takes one whole line after its importance; a line that cannot be taken is counted.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let Some((first, line)) = buf.split_first() else {
            return Ok(0);
        };
        let taken = self.admits(Importance::from_byte(*first)) && {
            let sent = self.sender.try_send(Message::Line(line.to_vec()));
            !matches!(
                sent,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
            )
        };
        if !taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(receiver: &Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(first) = receiver.recv() {
        let mut batch = Vec::new();
        let mut flushed = collect(first, &mut batch);
        if flushed.is_none() {
            thread::sleep(BATCH_TIME);
        }
        while flushed.is_none() {
            let Ok(next) = receiver.try_recv() else {
                break;
            };
            flushed = collect(next, &mut batch);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(
                format!("{{\"level\":\"warn\",\"part\":\"log\",\"dropped\":{lost}}}\n").as_bytes(),
            );
        }
        // Nobody reads the log any more; the process goes on without it.
        drop(out.write_all(&batch).and_then(|()| out.flush()));
        if let Some(done) = flushed {
            let _ = done.send(());
        }
    }
}

/// Adds an item to a batch; returns whom to tell that the batch is written.
fn collect(message: Message, batch: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match message {
        Message::Line(line) => {
            batch.extend_from_slice(&line);
            None
        }
        Message::Flush(done) => Some(done),
    }
}

/// Waits a moment until the lines so far are written, before the process ends.
pub fn flush() {
    let Some(sender) = SENDER.get() else {
        return;
    };
    let (done, written) = sync_channel(1);
    if sender.try_send(Message::Flush(done)).is_ok() {
        // The end of the process does not wait for a reader that is stuck.
        let _ = written.recv_timeout(FLUSH_TIME);
    }
}
