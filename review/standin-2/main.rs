//! The stand-ins of the scripts in `review/`: each script starts this program with its number and folder.

mod alone;
mod http;
mod leaf;
mod link;
mod machine;
mod promise;
mod record;
mod slow;
mod split;
mod store;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "promise" => promise::run(&folder, trouble),
        "split" => split::run(&folder, trouble),
        "slow" => slow::run(&folder, trouble),
        "alone" => alone::run(&folder, trouble),
        _ => Err(std::io::ErrorKind::InvalidInput.into()),
    };
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
