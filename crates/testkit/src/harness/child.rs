//! A child process that never outlives its handle.

use std::{
    fs::File,
    io,
    path::Path,
    process::{self, Command, ExitStatus, Stdio},
};

/// A signal to a child.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Ends it at once.
    Kill,
    /// Asks it to stop gracefully.
    Terminate,
    /// Tells it that its settings changed.
    Hangup,
    /// Freezes it.
    Stop,
    /// Thaws it.
    Continue,
}

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Child {
    child: process::Child,
}

impl Child {
    /// Starts a program whose output goes to `log`.
    ///
    /// # Errors
    /// Returns why the program or its log cannot be opened.
    pub fn start(program: &Path, args: &[&str], log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process's number.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Returns why it cannot be sent.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Err(io::ErrorKind::NotFound.into());
        }
        let number = match signal {
            Signal::Kill => libc::SIGKILL,
            Signal::Terminate => libc::SIGTERM,
            Signal::Hangup => libc::SIGHUP,
            Signal::Stop => libc::SIGSTOP,
            Signal::Continue => libc::SIGCONT,
        };
        let pid = libc::pid_t::try_from(self.child.id()).map_err(io::Error::other)?;
        // SAFETY: `kill` reads no memory, and the child has not been waited for, so that its
        // number is still its own.
        let result = unsafe { libc::kill(pid, number) };
        if result == 0 {
            Ok(())
        } else {
            Err(io::Error::last_os_error())
        }
    }

    /// Returns how the process ended; none while it runs.
    ///
    /// # Errors
    /// Returns why it cannot be asked.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// Returns why it cannot be killed.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::error!(
                "harness: The process {} cannot be killed: {error}.",
                self.pid()
            );
        }
    }
}
