//! Prints how often fleets read the configuration service and how fast changes spread.
//!
//! `config_spread [SIZE...]` runs a fleet of each size in four data centres, sizes being multiples
//! of four, and at last one of the first size where one process can reach the service.

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
    let spread = |size: usize| SpreadSettings {
        vms: vec![size / 4; 4],
        ..SpreadSettings::default()
    };
    for size in &sizes {
        println!("{}", run(&spread(*size)).await?);
    }
    let one = SpreadSettings {
        with_access: Some(1),
        ..spread(sizes[0])
    };
    println!("{}", run(&one).await?);
    Ok(())
}
