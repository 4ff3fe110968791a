//! Tests of the frame codec.

use bytes::{Bytes, BytesMut};
use tarpc::tokio_util::codec::{Decoder, Encoder};

use super::super::frames::FrameCodec;

#[test]
fn test_frames_allocate_only_for_received_bytes() {
    let mut frames = FrameCodec::default();
    let mut bytes = BytesMut::from(&[0, 0x3f, 0xff, 0xff, 7, 7][..]);
    assert!(frames.decode(&mut bytes).unwrap().is_none());
    assert!(bytes.capacity() < 1_024, "{}", bytes.capacity());
}

#[test]
fn test_frames_decode_byte_by_byte() {
    let mut frames = FrameCodec::default();
    let mut sent = BytesMut::new();
    let texts = [&b"one"[..], b"", b"three"];
    for text in texts {
        frames.encode(Bytes::from_static(text), &mut sent).unwrap();
    }
    let mut read = BytesMut::new();
    let mut decoded = Vec::new();
    for byte in sent {
        read.extend_from_slice(&[byte]);
        decoded.extend(frames.decode(&mut read).unwrap());
    }
    assert_eq!(decoded, texts);
}

#[test]
fn test_frames_above_the_limit_are_refused() {
    let mut frames = FrameCodec::default();
    let mut bytes = BytesMut::from(&[0, 0x40, 0, 1][..]);
    frames.decode(&mut bytes).unwrap_err();
}
