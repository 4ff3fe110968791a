//! The protocol between cassialift's own processes: tarpc over TCP.

mod call;
mod control;
mod job;
mod outcome;
mod packed;
mod partial;
mod relay;
mod service;
pub mod version;

pub use cassialift_core::config::ConfigSummary;

pub use call::{CallFailure, CallRefusal, CallResult, ShardCall, ShardReply};
pub use cassialift_core::fleet::members::{Contact, MemberState, MemberUpdate};
pub use control::{ConfigPull, ConfigPullReply, Ping, PingReply, ProbeReply};
pub use job::{JobForward, JobReply};
pub use partial::{GatherWithBody, PartialGather, PartialReply, RestRequest};
pub use relay::{RelayOutcome, RelayReply, RelayRequest};
pub use service::{Peer, PeerClient, PeerRequest, PeerResponse, ServePeer};
pub use version::Greeting;
