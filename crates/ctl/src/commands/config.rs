//! The configuration of a VM as text.

use cassialift_wire::operator::{ConfigStatus, Rejection};

use super::time;

/// Returns lines that state which preset is in force, for how long and from which source, how long
/// ago the platform confirmed the configuration, and which documents are rejected.
pub(super) fn config_lines(config: &ConfigStatus) -> Vec<String> {
    let mut lines = vec![preset_line(config), confirmation_line(config)];
    if !config.admits {
        lines.push("Requests are refused with no_config until a configuration is held.".to_owned());
    }
    lines.extend(config.rejections.iter().map(rejection_line));
    lines
}

fn preset_line(config: &ConfigStatus) -> String {
    let (Some(preset), Some(source), Some(active_for)) =
        (&config.preset, &config.source, config.active_for)
    else {
        return "No preset is in force: no preset document was accepted yet.".to_owned();
    };
    let active_for = time::format_duration(active_for);
    format!("Preset {preset} has been in force for {active_for}, learned from {source}.")
}

fn confirmation_line(config: &ConfigStatus) -> String {
    let revision = config.revision;
    let (Some(age), Some(reader)) = (config.age, &config.reader) else {
        return format!("Revision {revision} is held; the platform has not confirmed it.");
    };
    let age = time::format_duration(age);
    format!("Revision {revision} was confirmed by the platform {age} ago, read by {reader}.")
}

fn rejection_line(rejection: &Rejection) -> String {
    let Rejection {
        key,
        revision,
        line,
        column,
        cause,
        ..
    } = rejection;
    let consequence = match rejection.fallback {
        Some(fallback) => format!("revision {fallback} stays in force"),
        None => "no earlier text was accepted".to_owned(),
    };
    let hint = rejection.hint.as_ref();
    let hint = hint.map_or_else(String::new, |hint| format!(" Hint: {hint}."));
    format!(
        "{key} of revision {revision} is rejected at line {line}, column {column}: {cause}; {consequence}.{hint}"
    )
}
