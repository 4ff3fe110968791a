//! A child process that is killed when its handle is dropped.

use std::{
    fs::File,
    io,
    path::Path,
    process::{self, Command, ExitStatus, Stdio},
};

/// A signal to a child process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// SIGKILL: ends the process at once.
    Kill,
    /// SIGTERM: asks the process to shut down gracefully.
    Terminate,
    /// SIGHUP: asks the process to reload its settings.
    Hangup,
    /// SIGSTOP: freezes the process.
    Stop,
    /// SIGCONT: resumes the frozen process.
    Continue,
}

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct Child {
    child: process::Child,
}

impl Child {
    /// Starts a program and appends its output to the file `log`.
    ///
    /// # Errors
    /// Returns an error if the log cannot be opened or the program cannot be started.
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

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// Returns an error if the process has exited or the signal cannot be sent.
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
        // SAFETY: `kill` accesses no memory of this process, and the child has not been reaped, so
        // its process id has not been reused.
        let result = unsafe { libc::kill(pid, number) };
        if result == 0 {
            Ok(())
        } else {
            Err(io::Error::last_os_error())
        }
    }

    /// Returns the exit status of the process; `None` while it runs.
    ///
    /// # Errors
    /// Returns an error if the status cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error if the process cannot be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::error!("harness: Cannot kill the process {}: {error}.", self.pid());
        }
    }
}
