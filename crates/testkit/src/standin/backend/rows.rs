//! Rows that state what they were produced from, so that a checker can recognise wrong ones.

use cassialift_core::ids::{IndexVersion, ShardId};
use cassialift_wire::backend::Row;

/// Returns the rows of a shard for a query at an index version.
#[must_use]
pub fn search_rows(shard: ShardId, version: IndexVersion, query: &str, count: u32) -> Vec<Row> {
    let row = |index| Row {
        key: format!("{shard}/{index}"),
        value: format!("{version}/{query}"),
    };
    (0..count).map(row).collect()
}

/// Returns the rows of a job.
#[must_use]
pub fn job_rows(body: &str) -> Vec<Row> {
    let row = Row {
        key: String::from("job"),
        value: body.to_owned(),
    };
    vec![row]
}
