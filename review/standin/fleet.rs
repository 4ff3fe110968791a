//! The processes under test, and callers of them.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    leaf::{Run, Runs},
    store::is_ready,
};

pub const HOST: &str = "shop.example";

/// The option of `prctl` that has a process killed when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The addresses of one process under test.
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    directory: SocketAddr,
    pub control: SocketAddr,
    inner: SocketAddr,
    child: Mutex<Option<Child>>,
}

pub struct Fleet {
    pub vms: Vec<Vm>,
    store: SocketAddr,
    folder: PathBuf,
}

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, text: &str) {
        self.add_at(Instant::now(), text);
    }

    pub fn add_at(&self, at: Instant, text: &str) {
        let time = at.saturating_duration_since(self.began).as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{time:8.3} {text}"));
    }

    /// Adds what the leafs ran.
    pub fn add_runs(&self, runs: &Runs) {
        for run in runs.lock().unwrap().iter() {
            let Run {
                attempt,
                leaf,
                method,
                target,
                body,
                ..
            } = run;
            let text = format!(
                "{attempt}: {leaf} ran {method} {target}, {} bytes of body",
                body.len()
            );
            self.add_at(run.at, &text);
        }
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a[..8].cmp(&b[..8]));
        fs::write(path, lines.join("\n") + "\n")
    }
}

impl Fleet {
    /// Starts one process for each zone named, as the deploy file says.
    pub fn start(zones: &[&str], store: SocketAddr, folder: &Path) -> io::Result<Self> {
        let vm = |(index, zone): (usize, &&str)| {
            let ip = http::host(10 + u8::try_from(index).unwrap_or_default());
            let at = |port: u16| SocketAddr::from((ip, port));
            Vm {
                name: format!("front-{zone}-{index}"),
                zone: (*zone).to_owned(),
                front: at(8104),
                ready: at(8108),
                directory: at(8100),
                control: at(8106),
                inner: at(7380),
                child: Mutex::default(),
            }
        };
        let vms = zones.iter().enumerate().map(vm).collect();
        let fleet = Self {
            vms,
            store,
            folder: folder.to_owned(),
        };
        fs::create_dir_all(folder)?;
        for vm in 0..fleet.vms.len() {
            fleet.start_vm(vm, true)?;
        }
        Ok(fleet)
    }

    pub fn start_vm(&self, index: usize, is_first: bool) -> io::Result<()> {
        let vm = &self.vms[index];
        let seeds: Vec<String> = self
            .vms
            .iter()
            .take(3)
            .map(|vm| format!("\"{}\"", vm.control))
            .collect();
        let fields = [
            ("{{NodeName|json}}", format!("\"{}\"", vm.name)),
            ("{{Zone|json}}", format!("\"{}\"", vm.zone)),
            ("{{Ip}}:{{InternalPortRange.0}}", vm.inner.to_string()),
            ("{{Listen.Control|json}}", format!("\"{}\"", vm.control)),
            ("{{platform.Address|json}}", format!("\"{}\"", self.store)),
            ("{{Seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{Bounds.ConfigApplyMs}}", "3000".to_owned()),
            ("{{Listen.Front|json}}", format!("\"{}\"", vm.front)),
            ("{{Listen.directory|json}}", format!("\"{}\"", vm.directory)),
            ("{{Listen.Ready|json}}", format!("\"{}\"", vm.ready)),
            ("{{Bounds.GraceS}}", "6".to_owned()),
            ("{{Bounds.DrainMs}}", "3000".to_owned()),
            ("{{Bounds.RetryBudgetRatio}}", "0.2".to_owned()),
            ("{{Bounds.RetryBudgetSlack}}", "54".to_owned()),
            ("{{Bootstrap|json}}", is_first.to_string()),
            ("{{Limits.CpuShare}}", "0.25".to_owned()),
        ];
        let mut settings = fs::read_to_string("deploy/settings.jsonc")?;
        for (name, value) in &fields {
            settings = settings.replace(name, value);
        }
        if settings.contains("{{") {
            return Err(io::Error::other("a placeholder is not known"));
        }
        let path = self.folder.join(format!("{}.conf", vm.name));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{}.log", vm.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/deploy/cassialift");
        command
            .arg("--settings")
            .arg(&path)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("CASSIALIFT_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log);
        // SAFETY: `prctl` with this option may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL);
                Ok(())
            });
        }
        *vm.child.lock().unwrap() = Some(command.spawn()?);
        Ok(())
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, index: usize) {
        if let Some(mut child) = self.vms[index].child.lock().unwrap().take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Waits until all processes say that they are ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.vms.iter().all(|vm| is_ready(vm.ready)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in 0..self.vms.len() {
            self.kill(vm);
        }
    }
}

/// Returns the bytes of a consumer's request.
pub fn request(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    headers: &str,
    body: &[u8],
) -> Vec<u8> {
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{headers}{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Returns one word for the outcome of a request.
pub fn outcome(answer: &io::Result<http::Message>) -> String {
    match answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("no answer ({})", error.kind()),
    }
}
