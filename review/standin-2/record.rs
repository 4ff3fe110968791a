//! The record of a script: what was sent, answered and run.

use std::{collections::HashMap, fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    /// The service and the leaf of each run, by the attempt's id.
    runs: Mutex<HashMap<String, Vec<(String, String)>>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
            runs: Mutex::default(),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }

    /// Writes what became of one request: its id, where it was sent, how it was answered and which leafs ran
    /// it.
    pub fn request(&self, attempt: &str, to: &str, end: &str) {
        let leafs: Vec<String> = self
            .runs(attempt)
            .into_iter()
            .map(|(_, leaf)| leaf)
            .collect();
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(
            file,
            "{at:8.3} {attempt} to {to}: {end}, run at {}",
            leafs.join(" ")
        );
    }

    pub fn ran(&self, attempt: &str, service: &str, leaf: &str) {
        let mut runs = self.runs.lock().unwrap();
        let run = (service.to_owned(), leaf.to_owned());
        runs.entry(attempt.to_owned()).or_default().push(run);
    }

    /// Returns the services and leafs that ran an attempt.
    pub fn runs(&self, attempt: &str) -> Vec<(String, String)> {
        let runs = self.runs.lock().unwrap();
        runs.get(attempt).cloned().unwrap_or_default()
    }
}
