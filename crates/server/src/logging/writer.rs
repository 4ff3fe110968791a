//! A writer that passes lines to a thread without ever waiting for it.

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

/// The time for which the thread collects lines before it writes them. The thread thus wakes up
/// rarely, while lines still appear promptly to an operator who watches the log.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// The longest time that an ending process waits until its last lines are written.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// The sender to the thread that writes the log of the process.
static SENDER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// The number of lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The importance of a line, which decides whether it may use the whole rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Importance {
    /// The line is about a successful request.
    Routine,
    /// The line is about a failure or the state of the process.
    Essential,
}

impl Importance {
    /// Returns the byte that precedes a line of this importance.
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

/// Limits on the volume of the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogBounds {
    /// The largest number of lines that wait for the thread.
    pub(super) queued: usize,
    /// The largest number of lines in each window of at least one second.
    pub(super) rate: u32,
    /// The part of `rate` that is reserved for essential lines.
    pub(super) reserved: u32,
}

impl Default for LogBounds {
    /// Returns limits that allow a few lines for each request of a fully loaded VM, which is some
    /// tens of kilobytes per second.
    fn default() -> Self {
        Self {
            queued: 2_000,
            rate: 400,
            reserved: 200,
        }
    }
}

/// A message to the thread that writes the log.
enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A writer that passes lines to a thread without ever waiting for it.
pub(super) struct LineWriter {
    sender: SyncSender<Message>,
    bounds: LogBounds,
    /// The start of the current window of one second, and the number of lines in it.
    window: (Instant, u32),
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Creates a writer and starts the thread that writes its lines to `out`.
    pub(super) fn start(bounds: LogBounds, out: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(bounds.queued);
        let dropped = Arc::new(AtomicU64::new(0));
        let drop_count = Arc::clone(&dropped);
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&receiver, &drop_count, out));
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
    /// Accepts one whole line, preceded by the byte of its importance. A line that cannot be
    /// accepted is dropped and counted.
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let Some((first, line)) = buf.split_first() else {
            return Ok(0);
        };
        let accepted = self.admits(Importance::from_byte(*first)) && {
            let sent = self.sender.try_send(Message::Line(line.to_vec()));
            !matches!(
                sent,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
            )
        };
        if !accepted {
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
        // An error means that nobody reads the log any more; the process continues without it.
        drop(out.write_all(&batch).and_then(|()| out.flush()));
        if let Some(done) = flushed {
            let _ = done.send(());
        }
    }
}

/// Adds a message to a batch. Returns the sender to notify once the batch is written, if the
/// message asks for a flush.
fn collect(message: Message, batch: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match message {
        Message::Line(line) => {
            batch.extend_from_slice(&line);
            None
        }
        Message::Flush(done) => Some(done),
    }
}

/// Waits briefly until all lines logged so far are written. Called before the process ends.
pub fn flush() {
    let Some(sender) = SENDER.get() else {
        return;
    };
    let (done, written) = sync_channel(1);
    if sender.try_send(Message::Flush(done)).is_ok() {
        // The wait is limited, so that a stuck reader does not keep the process from ending.
        let _ = written.recv_timeout(FLUSH_TIME);
    }
}
