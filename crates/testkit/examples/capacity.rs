//! Prints the cost of the control decisions of one process in fleets of growing size.

use std::{error::Error, process::ExitCode};

use cassialift_testkit::capacity::{FleetSize, MeasuredVm, config_cost, fleet_cost};

/// The measured fleet sizes: the numbers of VMs and of backend servers.
const SIZES: [(u32, u32); 6] = [
    (8, 37),
    (32, 148),
    (128, 593),
    (256, 1_187),
    (550, 2_550),
    (1_100, 5_100),
];
/// The number of services that the backend servers are spread over.
const SERVICES: u32 = 20;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    for measured in [MeasuredVm::Median, MeasuredVm::Largest] {
        print_fleets(measured)?;
    }
    println!(
        "| backend servers | bytes, all documents | bytes, one document | change, ms | memory, KB |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (_, servers) in SIZES {
        let cost = config_cost(SERVICES, servers)?;
        println!(
            "| {} | {} | {} | {:.2} | {} |",
            cost.servers,
            cost.total_bytes,
            cost.document_bytes,
            cost.change_time.as_secs_f64() * 1_000.0,
            cost.memory_bytes / 1_024,
        );
    }
    Ok(())
}

/// Prints the cost of control at one VM, chosen by `measured`, for each fleet size.
fn print_fleets(measured: MeasuredVm) -> Result<(), Box<dyn Error>> {
    println!("VM with the {measured:?} number of backend servers:");
    println!(
        "| VMs | backend servers | owned | core % | of it view % | heartbeats sent/s | received/s | bytes/s | VM lost, ms | memory, KB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (vms, servers) in SIZES {
        let cost = fleet_cost(FleetSize {
            vms,
            servers,
            measured,
        })?;
        println!(
            "| {vms} | {servers} | {} | {:.3} | {:.3} | {:.1} | {:.1} | {:.0} | {:.2} | {} |",
            cost.owned_servers,
            cost.processor_time.as_secs_f64() * 100.0,
            cost.view_time.as_secs_f64() * 100.0,
            cost.sent_rate,
            cost.received_rate,
            cost.byte_rate,
            cost.loss_time.as_secs_f64() * 1_000.0,
            cost.memory_bytes / 1_024,
        );
    }
    println!();
    Ok(())
}
