//! The machines: each runs the program of the deploy file with settings made from its template.

use std::{
    fs,
    io::Read,
    net::TcpListener,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use crate::http;

/// The command of the deploy file, whose last word is the path of the settings.
const PROGRAM: &str = "target/deploy/cassialift";
const TEMPLATE: &str = "deploy/settings.jsonc";

/// The option of `prctl` that sets the signal which a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: String,
    pub ready: String,
    directory: String,
    control: String,
    inner: String,
    store: String,
    child: Option<Child>,
    folder: PathBuf,
}

impl Machine {
    /// Plans a machine; its process is started by [`Self::start`].
    pub fn new(name: &str, zone: &str, store: &str, folder: &Path) -> Self {
        let mut ports = free_ports(5).into_iter();
        let mut next = || format!("127.0.0.1:{}", ports.next().expect("five ports"));
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: next(),
            ready: next(),
            directory: next(),
            control: next(),
            inner: next(),
            store: store.to_owned(),
            child: None,
            folder: folder.to_owned(),
        }
    }

    /// Starts the process with settings like those of a small installation.
    pub fn start(&mut self, seeds: &[String], first_start: bool) -> std::io::Result<()> {
        let port = self.inner.rsplit(':').next().unwrap_or_default().to_owned();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = |value: &str| format!("\"{value}\"");
        let fields = [
            ("{{NodeName|json}}", text(&self.name)),
            ("{{Zone|json}}", text(&self.zone)),
            ("{{Ip}}", "127.0.0.1".to_owned()),
            ("{{InternalPortRange.0}}", port),
            ("{{Listen.Control|json}}", text(&self.control)),
            ("{{platform.Address|json}}", text(&self.store)),
            ("{{Seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{Bounds.ConfigApplyMs}}", "3000".to_owned()),
            ("{{Limits.MemoryMb}}", "260".to_owned()),
            ("{{Listen.Front|json}}", text(&self.front)),
            ("{{Listen.directory|json}}", text(&self.directory)),
            ("{{Listen.Ready|json}}", text(&self.ready)),
            ("{{Bounds.GraceS}}", "6".to_owned()),
            ("{{Bounds.DrainMs}}", "3000".to_owned()),
            ("{{Bounds.RetryBudgetRatio}}", "0.2".to_owned()),
            ("{{Bounds.RetryBudgetSlack}}", "56".to_owned()),
            ("{{Bootstrap|json}}", first_start.to_string()),
            ("{{Limits.CpuShare}}", "0.25".to_owned()),
        ];
        let mut settings = fs::read_to_string(TEMPLATE)?;
        for (name, value) in fields {
            settings = settings.replace(name, &value);
        }
        let path = self.folder.join(format!("{}.jsonc", self.name));
        fs::write(&path, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))?;
        let errors = log.try_clone()?;
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&path);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: the call passes numbers only, and is allowed between fork and exec. The process does not
        // outlive a script that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn control(&self) -> String {
        self.control.clone()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let host = [("Host", self.ready.clone())];
        let limit = Duration::from_millis(500);
        let answer = http::call(&self.ready, "GET", "/ready", &host, b"", limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the resident memory of the process in kilobytes.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        size.unwrap_or(0)
    }

    /// Returns the lines of the log that hold a word.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let mut text = String::new();
        let path = self.folder.join(format!("{}.log", self.name));
        if let Ok(mut file) = fs::File::open(path) {
            let _ = file.read_to_string(&mut text);
        }
        let lines = text.lines().filter(|line| line.contains(word));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Returns ports that nobody listens on, below those that the system gives to outgoing connections: another
/// connection could take one of these before the process listens on it.
pub fn free_ports(count: usize) -> Vec<u16> {
    let bind = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    let ports = std::iter::repeat_with(next_port).filter(bind);
    ports.take(count).collect()
}

fn next_port() -> u16 {
    static STEP: AtomicU32 = AtomicU32::new(0);
    let step = STEP.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(977).wrapping_add(step);
    10_000 + u16::try_from(start % 20_000).unwrap_or_default()
}
