//! `explain`: why a VM did what it did.

use std::{collections::BTreeMap, net::SocketAddr};

use cassialift_wire::operator::{
    COUNTERS_PATH, ConfigStatus, Counters, Event, STATUS_PATH, Status,
};
use serde::Serialize;

use super::{config, time};
use crate::{CtlError, Report, client};

/// The topic of the preset in force.
const PRESET: &str = "preset";
/// The topic of configuration, and the part that decides on it.
const CONFIG: &str = "config";

/// What a VM did and why.
#[derive(Debug, Serialize)]
struct Explanation {
    /// The configuration in force, when it was asked for.
    config: Option<ConfigStatus>,
    /// The decisions on the topic, oldest first.
    events: Vec<Event>,
    /// The counters on the topic since the process started.
    counters: BTreeMap<String, u64>,
}

/// Runs the command.
pub(super) fn run(vm: SocketAddr, topic: Option<&str>, json: bool) -> Result<Report, CtlError> {
    let status: Status = client::get(vm, STATUS_PATH)?;
    let counters: Counters = client::get(vm, COUNTERS_PATH)?;
    let explanation = select(status, counters, topic);
    if json {
        return Ok(Report::json(&explanation));
    }
    Ok(Report::text(text(&explanation, topic)))
}

fn select(status: Status, counters: Counters, topic: Option<&str>) -> Explanation {
    let is_config = topic.is_none_or(|topic| [PRESET, CONFIG].contains(&topic));
    let on_topic = |event: &Event| {
        topic.is_none_or(|topic| event.part == topic || contains(&event.text, topic))
    };
    let counted = |name: &str| topic.is_none_or(|topic| contains(name, topic));
    Explanation {
        config: is_config.then_some(status.config),
        events: status.events.into_iter().filter(on_topic).collect(),
        counters: counters
            .counters
            .into_iter()
            .filter(|(name, _)| counted(name))
            .collect(),
    }
}

fn contains(text: &str, word: &str) -> bool {
    text.to_lowercase().contains(&word.to_lowercase())
}

fn text(explanation: &Explanation, topic: Option<&str>) -> String {
    let mut lines = Vec::new();
    if let Some(config) = &explanation.config {
        lines.extend(config::lines(config));
    }
    for event in &explanation.events {
        let times = match event.count {
            0 | 1 => String::new(),
            count => format!(" ({count} times)"),
        };
        let age = time::text(event.age);
        lines.push(format!("{age} ago, {}: {}{times}", event.part, event.text));
    }
    let counters = explanation.counters.iter();
    lines.extend(counters.map(|(name, count)| format!("{name} = {count}")));
    if lines.is_empty() {
        let topic = topic.unwrap_or("anything");
        lines.push(format!("The VM remembers no decision on {topic}."));
    }
    lines.join("\n")
}
