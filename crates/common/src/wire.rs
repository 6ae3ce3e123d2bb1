//! The encoding of messages and stored data: musli; on connections, in length-delimited frames (design 1.8).

use bytes::{Bytes, BytesMut};
use musli::{Decode, Encode};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, marker::PhantomData};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest message between nodes: leaves ample room for a whole cluster state with its document.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Largest message on a connection whose handshake is not finished.
pub const MAX_HANDSHAKE_BYTES: usize = 4 << 10;
/// Version of the protocol between nodes; nodes with another version are rejected.
pub const PROTOCOL_VERSION: u32 = 4;

#[derive(Encode, Decode)]
#[musli(bound = {T: Serialize + DeserializeOwned}, decode_bound<'de, A> = {T: Serialize + DeserializeOwned})]
struct Owned<T> {
    #[musli(with = musli::serde)]
    value: T,
}

#[derive(Encode)]
#[musli(bound = {T: Serialize})]
struct Borrowed<'a, T> {
    #[musli(with = musli::serde)]
    value: &'a T,
}

fn invalid_data(error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// Encodes a value for the wire or the disk.
///
/// # Errors
/// The value can't be encoded.
pub fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let mut out = Vec::new();
    musli::storage::encode(&mut out, &Borrowed { value }).map_err(invalid_data)?;
    Ok(out)
}

/// Decodes a value.
///
/// # Errors
/// The bytes are not the encoding of a `T`.
pub fn decode<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let owned: Owned<T> = musli::storage::decode::<_, Owned<T>>(bytes).map_err(invalid_data)?;
    Ok(owned.value)
}

/// A codec for length-delimited frames that each hold one encoded value.
pub struct Codec<In, Out> {
    frames: LengthDelimitedCodec,
    types: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Codec<In, Out> {
    /// The codec for handshakes. A frame may have at most [`MAX_HANDSHAKE_BYTES`], so that an unidentified peer can't
    /// make the process reserve more.
    pub fn handshake() -> Self {
        Self::with_max_frame(MAX_HANDSHAKE_BYTES)
    }

    fn with_max_frame(bytes: usize) -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(bytes).new_codec();
        Self { frames, types: PhantomData }
    }
}

impl<In, Out> Default for Codec<In, Out> {
    fn default() -> Self {
        Self::with_max_frame(MAX_FRAME_BYTES)
    }
}

impl<In: Serialize + DeserializeOwned, Out> Decoder for Codec<In, Out> {
    type Item = In;
    type Error = io::Error;
    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<In>> {
        self.frames.decode(source)?.map(|frame| decode(&frame)).transpose()
    }
}

impl<In, Out: Serialize> Encoder<Out> for Codec<In, Out> {
    type Error = io::Error;
    fn encode(&mut self, value: Out, target: &mut BytesMut) -> io::Result<()> {
        self.frames.encode(Bytes::from(encode(&value)?), target)
    }
}
