//! `explain`: the recent decisions of a VM with their reasons.

use std::{collections::BTreeMap, net::SocketAddr};

use cassialift_wire::operator::{
    COUNTERS_PATH, ConfigStatus, Counters, Event, STATUS_PATH, Status,
};
use serde::Serialize;

use super::{config, time};
use crate::{CtlError, Report, client};

/// The topic that selects the preset in force.
const PRESET: &str = "preset";
/// The topic that selects the configuration; also the name of the part that decides on it.
const CONFIG: &str = "config";

/// The decisions of a VM on a topic, or on all topics.
#[derive(Debug, Serialize)]
struct Explanation {
    /// The configuration in force; `None` if the topic does not select it.
    config: Option<ConfigStatus>,
    /// The decisions on the topic, oldest first.
    events: Vec<Event>,
    /// The counters on the topic, counted since the process started.
    counters: BTreeMap<String, u64>,
}

/// Queries a VM and returns the explanation of a topic, or of all topics, as a report.
pub(super) fn run(vm: SocketAddr, topic: Option<&str>, json: bool) -> Result<Report, CtlError> {
    let status: Status = client::get(vm, STATUS_PATH)?;
    let counters: Counters = client::get(vm, COUNTERS_PATH)?;
    let explanation = select(status, counters, topic);
    if json {
        return Ok(Report::json(&explanation));
    }
    Ok(Report::text(format_explanation(&explanation, topic)))
}

/// Selects the configuration, the events and the counters of a topic.
fn select(status: Status, counters: Counters, topic: Option<&str>) -> Explanation {
    let is_config = topic.is_none_or(|topic| [PRESET, CONFIG].contains(&topic));
    let on_topic = |event: &Event| {
        topic.is_none_or(|topic| event.part == topic || contains(&event.text, topic))
    };
    let is_selected = |name: &str| topic.is_none_or(|topic| contains(name, topic));
    Explanation {
        config: is_config.then_some(status.config),
        events: status.events.into_iter().filter(on_topic).collect(),
        counters: counters
            .counters
            .into_iter()
            .filter(|(name, _)| is_selected(name))
            .collect(),
    }
}

/// Returns whether a text contains a word, ignoring case.
fn contains(text: &str, word: &str) -> bool {
    text.to_lowercase().contains(&word.to_lowercase())
}

fn format_explanation(explanation: &Explanation, topic: Option<&str>) -> String {
    let mut lines = Vec::new();
    if let Some(config) = &explanation.config {
        lines.extend(config::config_lines(config));
    }
    for event in &explanation.events {
        let times = match event.count {
            0 | 1 => String::new(),
            count => format!(" ({count} times)"),
        };
        let age = time::format_duration(event.age);
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
