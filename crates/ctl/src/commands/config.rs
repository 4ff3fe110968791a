//! The configuration of a VM, in words.

use cassialift_wire::operator::{ConfigStatus, Rejection};

use super::time;

/// Tells what is in force, since when, from whom, and how old the view is.
pub(super) fn lines(config: &ConfigStatus) -> Vec<String> {
    let mut lines = vec![preset(config), confirmation(config)];
    if !config.admits {
        lines.push("Requests are refused with no_config until a configuration is held.".to_owned());
    }
    lines.extend(config.rejections.iter().map(rejection));
    lines
}

fn preset(config: &ConfigStatus) -> String {
    let (Some(preset), Some(source), Some(since)) =
        (&config.preset, &config.source, config.active_for)
    else {
        return "No preset is in force: no preset document was accepted yet.".to_owned();
    };
    let since = time::text(since);
    format!("Preset {preset} has been in force for {since}, learned from {source}.")
}

fn confirmation(config: &ConfigStatus) -> String {
    let revision = config.revision;
    let (Some(age), Some(reader)) = (config.age, &config.reader) else {
        return format!("Revision {revision} is held; the platform has not confirmed it.");
    };
    let age = time::text(age);
    format!("Revision {revision} was confirmed by the platform {age} ago, read by {reader}.")
}

fn rejection(rejection: &Rejection) -> String {
    let Rejection {
        key,
        revision,
        line,
        column,
        cause,
        ..
    } = rejection;
    let stays = match rejection.fallback {
        Some(former) => format!("revision {former} stays in force"),
        None => "there is no former text".to_owned(),
    };
    let hint = rejection.hint.as_ref();
    let hint = hint.map_or_else(String::new, |hint| format!(" Hint: {hint}."));
    format!(
        "{key} of revision {revision} is rejected at line {line}, column {column}: {cause}; {stays}.{hint}"
    )
}
