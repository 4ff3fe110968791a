//! Prints how often fleets read the configuration service and how fast changes propagate.
//!
//! `config_spread [SIZE...]` runs a fleet of each size in four data centres; sizes are multiples of
//! four. The last fleet has the first size, and only one of its processes can reach the service.

use cassialift_testkit::{
    config_spread::{SpreadSettings, run},
    harness::HarnessError,
};

#[tokio::main]
async fn main() -> Result<(), HarnessError> {
    env_logger::init();
    let sizes: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|size| size.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() { vec![8] } else { sizes };
    println!("| processes | can read | reads/s idle | reads/s down | changes | p50 | p99 | max |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let settings = |size: usize| SpreadSettings {
        vms: vec![size / 4; 4],
        ..SpreadSettings::default()
    };
    for size in &sizes {
        println!("{}", run(&settings(*size)).await?);
    }
    let single_reader = SpreadSettings {
        with_access: Some(1),
        ..settings(sizes[0])
    };
    println!("{}", run(&single_reader).await?);
    Ok(())
}
