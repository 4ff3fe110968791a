//! Structured logs on standard output, which are limited in volume and never block.
//!
//! Each line is a JSON object. A separate thread writes the lines in batches. Lines that exceed the
//! rate limit, or that come faster than standard output accepts them, are dropped and counted, and
//! the count is written in their place. Lines about successful requests are dropped first, as part
//! of the limit is reserved for all other lines.

mod format;
mod writer;

#[cfg(test)]
mod tests;

pub(crate) use format::log_request;
pub use format::set_vm;
pub use writer::{dropped_lines, flush};

use env_logger::{Builder, Env, Target};

use writer::{LineWriter, LogBounds};

/// Starts logging. The environment variable `RUST_LOG` sets the log filter.
pub fn start() {
    let env = Env::default().default_filter_or("info,tarpc=warn,volo=warn");
    let writer = LineWriter::start(LogBounds::default(), std::io::stdout());
    Builder::from_env(env)
        .format(|buffer, record| format::write_line(buffer, record))
        .target(Target::Pipe(Box::new(writer)))
        .init();
}
