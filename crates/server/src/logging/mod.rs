//! Structured logs on standard output, bounded in volume, that never block.
//!
//! A line is a list of `key=value` pairs. A thread of its own writes them in batches; lines that
//! come faster than the bound, or faster than standard output takes them, are counted and the
//! count is written in their place.

mod format;
mod writer;

#[cfg(test)]
mod tests;

pub use format::set_vm;
pub use writer::flush;

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
