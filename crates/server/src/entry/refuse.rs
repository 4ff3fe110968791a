//! Refusals of callers' requests and their HTTP statuses.

use cassialift_core::request::{ExecutionStatus, RefusalReason};
use cassialift_wire::caller::Refusal;
use volo_http::http::StatusCode;

/// The detail of a refusal because there is no configuration yet.
pub(super) const NO_CONFIG: &str = "no configuration has been accepted yet";

/// The detail of a refusal because no VM is known to serve.
const NO_ADDRESSES: &str = "no VM is known to serve yet; ask another address";

/// An error that is returned to the caller as a refusal.
#[derive(Debug)]
pub(super) struct RefusalError {
    pub(super) refusal: Box<Refusal>,
}

impl RefusalError {
    pub(super) fn new(reason: RefusalReason, ran: ExecutionStatus, detail: String) -> Self {
        Self {
            refusal: Box::new(Refusal {
                id: None,
                reason,
                detail,
                ran,
                retry: None,
                addresses: Vec::new(),
                coverage: None,
            }),
        }
    }

    /// Creates the refusal of a request that was not run.
    pub(super) fn not_run(reason: RefusalReason, detail: &str) -> Self {
        Self::new(reason, ExecutionStatus::NotRun, detail.to_owned())
    }

    pub(super) fn no_config() -> Self {
        Self::not_run(RefusalReason::NoConfig, NO_CONFIG)
    }

    pub(super) fn no_addresses() -> Self {
        Self::not_run(RefusalReason::NoConfig, NO_ADDRESSES)
    }

    pub(super) fn with_id(mut self, id: &str) -> Self {
        self.refusal.id = Some(id.to_owned());
        self
    }

    pub(super) const fn status(&self) -> StatusCode {
        match self.refusal.reason {
            RefusalReason::Malformed | RefusalReason::DeadlinePast => StatusCode::BAD_REQUEST,
            RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::UnknownService
            | RefusalReason::UnknownShard
            | RefusalReason::UnknownTicket => StatusCode::NOT_FOUND,
            RefusalReason::ForeignTicket => StatusCode::FORBIDDEN,
            RefusalReason::ExpiredTicket => StatusCode::GONE,
            RefusalReason::TicketReused => StatusCode::CONFLICT,
            RefusalReason::CallerShare => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
            RefusalReason::HolderGone | RefusalReason::NoReply => StatusCode::BAD_GATEWAY,
            RefusalReason::Infeasible
            | RefusalReason::NotAdmitted
            | RefusalReason::Overloaded
            | RefusalReason::NoConfig
            | RefusalReason::Leaving
            | RefusalReason::Coverage
            | RefusalReason::Unreachable
            | RefusalReason::Poison => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
