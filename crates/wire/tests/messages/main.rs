//! Tests that the messages between VMs stay as earlier versions read and write them.
//!
//! The recorded bytes are those of the build that was the first of their version; those of version 1
//! were written by commit 2068bba. To print the bytes of this build: `cargo test -p cassialift-wire
//! --test messages -- --ignored --nocapture`.

mod added;
mod samples;

use bincode::Options;
use cassialift_wire::peer::{PeerRequest, PeerResponse};
use data_encoding::HEXLOWER;
use serde::{Serialize, de::DeserializeOwned};

const REQUESTS: &str = include_str!("requests.txt");
const RESPONSES: &str = include_str!("responses.txt");

/// Returns the form of a message on the wire.
fn encode(message: &impl Serialize) -> String {
    let bytes = bincode::DefaultOptions::new().serialize(message).unwrap();
    HEXLOWER.encode(&bytes)
}

/// Checks that this build writes samples as they were recorded, and reads them.
fn check<T: Serialize + DeserializeOwned>(samples: &[T], recorded: &str) {
    let recorded: Vec<&str> = recorded.lines().collect();
    assert_eq!(samples.len(), recorded.len(), "one line for each sample");
    for (sample, recorded) in samples.iter().zip(recorded) {
        assert_eq!(encode(sample), recorded);
        let bytes = HEXLOWER.decode(recorded.as_bytes()).unwrap();
        let read: T = bincode::DefaultOptions::new().deserialize(&bytes).unwrap();
        assert_eq!(encode(&read), recorded);
    }
}

fn requests() -> Vec<PeerRequest> {
    let mut requests = samples::requests();
    requests.extend(added::requests());
    requests
}

fn responses() -> Vec<PeerResponse> {
    let mut responses = samples::responses();
    responses.extend(added::responses());
    responses
}

#[test]
fn test_requests_of_all_versions() {
    check(&requests(), REQUESTS);
}

#[test]
fn test_responses_of_all_versions() {
    check(&responses(), RESPONSES);
}

/// Prints the samples as this build writes them.
#[test]
#[ignore = "writes no file; for recording a new version"]
fn test_print_samples() {
    for request in requests() {
        println!("request {}", encode(&request));
    }
    for response in responses() {
        println!("response {}", encode(&response));
    }
}
