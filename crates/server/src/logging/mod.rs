//! Structured logs on standard output, bounded in volume, that never block.
//!
//! A line is a JSON object. A thread of its own writes them in batches; lines that come faster
//! than the bound, or faster than standard output takes them, are counted and the count is written
//! in their place. Lines on requests that went well give way to all others.

mod format;
mod writer;

#[cfg(test)]
mod tests;

pub(crate) use format::log_request;
pub use format::set_vm;
pub use writer::{dropped_lines, flush};

use env_logger::{Builder, Env, Target};

use writer::{LineWriter, LogBounds};

/// Starts logging; the environment variable `RUST_LOG` sets what is logged.
pub fn start() {
    let env = Env::default().default_filter_or("info,tarpc=warn,volo=warn");
    let writer = LineWriter::start(LogBounds::default(), std::io::stdout());
    Builder::from_env(env)
        .format(|buffer, record| format::write_line(buffer, record))
        .target(Target::Pipe(Box::new(writer)))
        .init();
}
