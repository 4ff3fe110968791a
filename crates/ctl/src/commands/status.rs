//! `status`: the fleet as one VM sees it.

use std::{fmt::Write, net::SocketAddr};

use cassialift_core::ids::VmId;
use cassialift_wire::operator::{STATUS_PATH, Status};

use super::config;
use crate::{CtlError, Report, client};

/// Queries the status of a VM and returns it as a report.
pub(super) fn run(vm: SocketAddr, json: bool) -> Result<Report, CtlError> {
    let status: Status = client::get(vm, STATUS_PATH)?;
    if json {
        return Ok(Report::json(&status));
    }
    Ok(Report::text(format_status(&status)))
}

fn format_status(status: &Status) -> String {
    let leaving = if status.leaving { ", leaving" } else { "" };
    let mut lines = vec![format!(
        "VM {} in data centre {}, run {:016x}{leaving}",
        status.vm, status.centre, status.incarnation
    )];
    lines.extend(config::config_lines(&status.config));
    lines.push(String::new());
    lines.extend(vm_table(status));
    lines.push(String::new());
    lines.extend(server_table(status));
    lines.join("\n")
}

fn vm_table(status: &Status) -> Vec<String> {
    let mut rows = vec![["VM", "DATA CENTRE", "STATE"].map(str::to_owned)];
    let row = |vm: &cassialift_wire::operator::VmStatus| {
        [vm.vm.to_string(), vm.centre.to_string(), vm.state.clone()]
    };
    rows.extend(status.vms.iter().map(row));
    align_columns(&rows)
}

fn server_table(status: &Status) -> Vec<String> {
    let heads = ["BACKEND SERVER", "OWNER", "STANDBY", "SLOTS HERE", "STATE"];
    let mut rows = vec![heads.map(str::to_owned)];
    let name_or_dash = |vm: &Option<VmId>| vm.as_deref().unwrap_or("-").to_owned();
    let row = |server: &cassialift_wire::operator::ServerStatus| {
        [
            server.server.clone(),
            name_or_dash(&server.owner),
            name_or_dash(&server.standby),
            server.slots.to_string(),
            server.state.clone(),
        ]
    };
    rows.extend(status.servers.iter().map(row));
    align_columns(&rows)
}

/// Returns one line for each row, with aligned columns.
fn align_columns<const N: usize>(rows: &[[String; N]]) -> Vec<String> {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max();
    let widths: Vec<usize> = (0..N).map(|column| width(column).unwrap_or(0)).collect();
    let format_row = |row: &[String; N]| {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a `String` never fails.
            let _ = write!(line, "{cell:width$}  ");
        }
        line.trim_end().to_owned()
    };
    rows.iter().map(format_row).collect()
}
