//! `status`: the fleet as one VM sees it.

use std::{fmt::Write, net::SocketAddr};

use cassialift_core::ids::VmId;
use cassialift_wire::operator::{STATUS_PATH, Status};

use super::config;
use crate::{CtlError, Report, client};

/// Runs the command.
pub(super) fn run(vm: SocketAddr, json: bool) -> Result<Report, CtlError> {
    let status: Status = client::get(vm, STATUS_PATH)?;
    if json {
        return Ok(Report::json(&status));
    }
    Ok(Report::text(text(&status)))
}

fn text(status: &Status) -> String {
    let leaving = if status.leaving { ", leaving" } else { "" };
    let mut lines = vec![format!(
        "VM {} in data centre {}, run {:016x}{leaving}",
        status.vm, status.centre, status.incarnation
    )];
    lines.extend(config::lines(&status.config));
    lines.push(String::new());
    lines.extend(vms(status));
    lines.push(String::new());
    lines.extend(servers(status));
    lines.join("\n")
}

fn vms(status: &Status) -> Vec<String> {
    let mut rows = vec![["VM", "DATA CENTRE", "STATE"].map(str::to_owned)];
    let row = |vm: &cassialift_wire::operator::VmStatus| {
        [vm.vm.to_string(), vm.centre.to_string(), vm.state.clone()]
    };
    rows.extend(status.vms.iter().map(row));
    table(&rows)
}

fn servers(status: &Status) -> Vec<String> {
    let heads = ["BACKEND SERVER", "OWNER", "STANDBY", "SLOTS HERE", "STATE"];
    let mut rows = vec![heads.map(str::to_owned)];
    let name = |vm: &Option<VmId>| vm.as_deref().unwrap_or("-").to_owned();
    let row = |server: &cassialift_wire::operator::ServerStatus| {
        [
            server.server.clone(),
            name(&server.owner),
            name(&server.standby),
            server.slots.to_string(),
            server.state.clone(),
        ]
    };
    rows.extend(status.servers.iter().map(row));
    table(&rows)
}

/// Writes rows with aligned columns.
fn table<const N: usize>(rows: &[[String; N]]) -> Vec<String> {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max();
    let widths: Vec<usize> = (0..N).map(|column| width(column).unwrap_or(0)).collect();
    let line = |row: &[String; N]| {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string cannot fail.
            let _ = write!(line, "{cell:width$}  ");
        }
        line.trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}
