//! The frames between peers: a length of four bytes, followed by that many bytes.

use std::io;

use bytes::{Bytes, BytesMut};
use tarpc::tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The largest frame, in bytes; a configuration document and its envelope fit into it.
const MAX_FRAME: usize = 4 * 1024 * 1024;

/// The most bytes that the body of a request or an answer may have in a message; the rest of a frame is for
/// its head and for the shards of a search.
pub const MAX_CONTENT: usize = MAX_FRAME - 512 * 1024;

/// The size of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// A codec for frames of bounded length that allocates memory only as the bytes of a frame arrive.
///
/// The codec of tokio-util allocates the whole frame once it has read the length, so that four
/// bytes from a hostile peer would cost as much memory as the largest frame.
#[derive(Debug)]
pub(super) struct FrameCodec {
    codec: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(MAX_FRAME)
            .new_codec();
        Self { codec }
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if is_partial(src) {
            return Ok(None);
        }
        self.codec.decode(src)
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.codec.encode(item, dst)
    }
}

/// Returns whether part of a frame of allowed length is still missing.
fn is_partial(src: &BytesMut) -> bool {
    let Some(head) = src.first_chunk::<LENGTH_BYTES>() else {
        return true;
    };
    let length = usize::try_from(u32::from_be_bytes(*head)).unwrap_or(usize::MAX);
    length <= MAX_FRAME && src.len() - LENGTH_BYTES < length
}
