//! The form of configuration documents on the wire: compressed, unless they are small.
//!
//! The documents of backend servers differ in a few fields only, and so do the routes of one document. A
//! starting VM receives all of them, often from another data centre, and a change of the routes is sent
//! to all VMs at once, some of them over narrow links.

use std::io::Read;

use cassialift_core::config::Document;
use flate2::{
    Compression,
    read::{DeflateDecoder, DeflateEncoder},
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de, ser};

/// The size of documents up to which they are not compressed, in bytes: a change of a few backend servers.
const MAX_PLAIN_BYTES: usize = 2 << 10;
/// The maximum size of the documents of one reply before compression, in bytes: twice that of a page
/// with its last text, so that a small reply cannot take much memory.
const MAX_BYTES: u64 = 8 << 20;

/// Documents on the wire.
#[derive(Deserialize, Serialize)]
enum Packed {
    Plain(Vec<Document>),
    /// The documents in the format of all messages, compressed with DEFLATE.
    Deflated(Vec<u8>),
}

pub(super) fn serialize<S: Serializer>(
    documents: &[Document],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let sizes = documents.iter().map(|document| {
        let text = document.text.as_ref();
        document.key.len() + text.map_or(0, String::len)
    });
    if sizes.sum::<usize>() <= MAX_PLAIN_BYTES {
        return Packed::Plain(documents.to_vec()).serialize(serializer);
    }
    let bytes = bincode::serialize(documents).map_err(ser::Error::custom)?;
    let mut deflated = Vec::new();
    DeflateEncoder::new(&*bytes, Compression::fast())
        .read_to_end(&mut deflated)
        .map_err(ser::Error::custom)?;
    Packed::Deflated(deflated).serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Document>, D::Error> {
    let deflated = match Packed::deserialize(deserializer)? {
        Packed::Plain(documents) => return Ok(documents),
        Packed::Deflated(deflated) => deflated,
    };
    let mut bytes = Vec::new();
    DeflateDecoder::new(&*deflated)
        .take(MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(de::Error::custom)?;
    if bytes.len() as u64 > MAX_BYTES {
        let message = format_args!("the documents take more than {MAX_BYTES} bytes");
        return Err(de::Error::custom(message));
    }
    bincode::deserialize(&bytes).map_err(de::Error::custom)
}
