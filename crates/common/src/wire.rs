//! The encoding of messages and stored data: musli over length-delimited frames (design 1.8).

use bytes::{Bytes, BytesMut};
use musli::{Decode, Encode};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, marker::PhantomData};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest message between nodes, in bytes: a whole cluster state with a document fits well.
pub const MAX_FRAME_BYTES: usize = 8 << 20;
/// Largest message of a connection that has not introduced itself yet, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 4 << 10;
/// Version of the protocol between nodes; nodes of other versions are refused.
pub const PROTOCOL_VERSION: u32 = 4;

#[derive(Encode, Decode)]
#[musli(bound = {T: Serialize + DeserializeOwned}, decode_bound<'de, A> = {T: Serialize + DeserializeOwned})]
struct Owned<T> {
    #[musli(with = musli::serde)]
    v: T,
}

#[derive(Encode)]
#[musli(bound = {T: Serialize})]
struct Borrowed<'a, T> {
    #[musli(with = musli::serde)]
    v: &'a T,
}

fn invalid_data(e: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e.to_string())
}

/// The encoded form of a value, for the wire and the disk.
///
/// # Errors
/// The value can't be encoded.
pub fn encode<T: Serialize>(v: &T) -> io::Result<Vec<u8>> {
    let mut out = Vec::new();
    musli::storage::encode(&mut out, &Borrowed { v }).map_err(invalid_data)?;
    Ok(out)
}

/// The value that these bytes encode.
///
/// # Errors
/// They encode no such value.
pub fn decode<T: Serialize + DeserializeOwned>(b: &[u8]) -> io::Result<T> {
    let v: Owned<T> = musli::storage::decode::<_, Owned<T>>(b).map_err(invalid_data)?;
    Ok(v.v)
}

/// A codec of frames, each one encoded value.
pub struct Codec<In, Out> {
    frames: LengthDelimitedCodec,
    kinds: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Codec<In, Out> {
    /// For handshakes, of at most [`MAX_HANDSHAKE_BYTES`] bytes: a stranger makes no process reserve more.
    pub fn handshake() -> Self {
        Self::with_most(MAX_HANDSHAKE_BYTES)
    }

    fn with_most(bytes: usize) -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(bytes).new_codec();
        Self { frames, kinds: PhantomData }
    }
}

impl<In, Out> Default for Codec<In, Out> {
    fn default() -> Self {
        Self::with_most(MAX_FRAME_BYTES)
    }
}

impl<In: Serialize + DeserializeOwned, Out> Decoder for Codec<In, Out> {
    type Item = In;
    type Error = io::Error;
    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<In>> {
        self.frames.decode(src)?.map(|b| decode(&b)).transpose()
    }
}

impl<In, Out: Serialize> Encoder<Out> for Codec<In, Out> {
    type Error = io::Error;
    fn encode(&mut self, v: Out, dst: &mut BytesMut) -> io::Result<()> {
        self.frames.encode(Bytes::from(encode(&v)?), dst)
    }
}
