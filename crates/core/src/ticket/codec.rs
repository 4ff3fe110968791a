//! The authenticated text format of tickets.

use std::{sync::Arc, time::Duration};

use data_encoding::BASE64URL_NOPAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use super::{KEY_BYTES, TicketError};
use crate::ids::{CallerId, Incarnation, ServiceId, VmId};

/// The version of the binary format, the first byte of a ticket.
const FORMAT_VERSION: u8 = 1;

/// The length in bytes of the message authentication code at the end of a ticket.
const MAC_BYTES: usize = 16;

/// The maximum length in bytes of a text that is decoded: enough for three names of 255 bytes and
/// the numbers.
const MAX_TEXT_BYTES: usize = 1_200;

/// Permission to run one job at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The VM of the process that holds the ticket.
    pub vm: VmId,
    /// The run of that process.
    pub incarnation: Incarnation,
    /// The sequence number of the ticket within that run.
    pub sequence: u64,
    /// The caller to whom the ticket was issued.
    pub caller: CallerId,
    /// The service that runs the job.
    pub service: ServiceId,
    /// The time until which a job may be submitted, since the start of the holder.
    pub expiry: Duration,
    /// The time until which the outcome is remembered, since the start of the holder.
    pub forget_at: Duration,
}

/// The key with which a run of a process authenticates its tickets.
#[derive(Clone)]
pub struct TicketKey([u8; KEY_BYTES]);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

impl TicketKey {
    /// Creates a key from random bytes that were drawn when the process started.
    #[must_use]
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the text form of a ticket with its authentication code.
    ///
    /// # Errors
    /// Returns [`TicketError::TooLong`] for a name longer than 255 bytes.
    pub fn sign(&self, ticket: &Ticket) -> Result<String, TicketError> {
        let mut bytes = encode(ticket)?;
        let code = self.mac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code[..MAC_BYTES]);
        Ok(BASE64URL_NOPAD.encode(&bytes))
    }

    /// Decodes a ticket and checks that it was signed with this key.
    ///
    /// # Errors
    /// Returns the reason why the text is not a ticket of this key.
    pub fn verify(&self, text: &str) -> Result<Ticket, TicketError> {
        let bytes = decode_text(text)?;
        let (content, code) = split(&bytes)?;
        if self.mac(content).verify_truncated_left(code).is_err() {
            return Err(TicketError::Forged);
        }
        decode(content)
    }

    fn mac(&self, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any key length is allowed");
        mac.update(content);
        mac
    }
}

impl Ticket {
    /// Decodes a ticket without checking its authentication code. The result may be used only to
    /// find the holder.
    ///
    /// # Errors
    /// Returns [`TicketError::Malformed`] for a text that is not a ticket.
    pub fn decode_unverified(text: &str) -> Result<Self, TicketError> {
        let bytes = decode_text(text)?;
        let (content, _code) = split(&bytes)?;
        decode(content)
    }
}

fn decode_text(text: &str) -> Result<Vec<u8>, TicketError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(TicketError::Malformed);
    }
    BASE64URL_NOPAD
        .decode(text.as_bytes())
        .map_err(|_error| TicketError::Malformed)
}

fn split(bytes: &[u8]) -> Result<(&[u8], &[u8]), TicketError> {
    let Some(length) = bytes.len().checked_sub(MAC_BYTES) else {
        return Err(TicketError::Malformed);
    };
    Ok(bytes.split_at(length))
}

fn encode(ticket: &Ticket) -> Result<Vec<u8>, TicketError> {
    let mut bytes = vec![FORMAT_VERSION];
    for number in [
        ticket.incarnation,
        ticket.sequence,
        millis(ticket.expiry),
        millis(ticket.forget_at),
    ] {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    for name in [&ticket.vm, &ticket.caller, &ticket.service] {
        let length = u8::try_from(name.len()).map_err(|_error| TicketError::TooLong)?;
        bytes.push(length);
        bytes.extend_from_slice(name.as_bytes());
    }
    Ok(bytes)
}

fn decode(content: &[u8]) -> Result<Ticket, TicketError> {
    let mut rest = content;
    if take(&mut rest, 1)? != [FORMAT_VERSION] {
        return Err(TicketError::Malformed);
    }
    let ticket = Ticket {
        incarnation: take_number(&mut rest)?,
        sequence: take_number(&mut rest)?,
        expiry: Duration::from_millis(take_number(&mut rest)?),
        forget_at: Duration::from_millis(take_number(&mut rest)?),
        vm: take_name(&mut rest)?,
        caller: take_name(&mut rest)?,
        service: take_name(&mut rest)?,
    };
    if rest.is_empty() {
        Ok(ticket)
    } else {
        Err(TicketError::Malformed)
    }
}

fn take<'a>(rest: &mut &'a [u8], length: usize) -> Result<&'a [u8], TicketError> {
    let Some((head, tail)) = rest.split_at_checked(length) else {
        return Err(TicketError::Malformed);
    };
    *rest = tail;
    Ok(head)
}

fn take_number(rest: &mut &[u8]) -> Result<u64, TicketError> {
    let bytes = take(rest, size_of::<u64>())?;
    let array = bytes.try_into().map_err(|_error| TicketError::Malformed)?;
    Ok(u64::from_le_bytes(array))
}

fn take_name(rest: &mut &[u8]) -> Result<Arc<str>, TicketError> {
    let length = take(rest, 1)?[0];
    let bytes = take(rest, usize::from(length))?;
    let name = str::from_utf8(bytes).map_err(|_error| TicketError::Malformed)?;
    Ok(Arc::from(name))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
