//! musli over length-delimited frames, and the handshake that opens each connection (design 1.8).

use bytes::{Bytes, BytesMut};
use musli::{Decode, Encode};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, marker::PhantomData};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest message between own processes: a whole frame with a document fits well.
pub const MAX_FRAME: usize = 8 << 20;
/// Largest message of a connection that has not said yet who it is: a handshake and its answer.
pub const MAX_HANDSHAKE: usize = 4 << 10;
pub const PROTOCOL_VERSION: u32 = 4;

#[derive(Encode, Decode)]
#[musli(bound = {T: Serialize + DeserializeOwned}, decode_bound<'de, A> = {T: Serialize + DeserializeOwned})]
struct Boxed<T> {
    #[musli(with = musli::serde)]
    v: T,
}

#[derive(Encode)]
#[musli(bound = {T: Serialize})]
struct Lent<'a, T> {
    #[musli(with = musli::serde)]
    v: &'a T,
}

fn bad(e: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e.to_string())
}

pub fn encode<T: Serialize>(v: &T) -> io::Result<Vec<u8>> {
    let mut out = Vec::new();
    musli::storage::encode(&mut out, &Lent { v }).map_err(bad)?;
    Ok(out)
}

pub fn decode<T: Serialize + DeserializeOwned>(b: &[u8]) -> io::Result<T> {
    let v: Boxed<T> = musli::storage::decode::<_, Boxed<T>>(b).map_err(bad)?;
    Ok(v.v)
}

/// tokio-util codec: frames of at most `MAX_FRAME` bytes, each one musli value.
pub struct Codec<In, Out> {
    frames: LengthDelimitedCodec,
    kinds: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Codec<In, Out> {
    /// For the handshake of a connection: a stranger makes no process reserve more than that.
    pub fn handshake() -> Self {
        Self::with_most(MAX_HANDSHAKE)
    }

    fn with_most(bytes: usize) -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(bytes).new_codec();
        Self { frames, kinds: PhantomData }
    }
}

impl<In, Out> Default for Codec<In, Out> {
    fn default() -> Self {
        Self::with_most(MAX_FRAME)
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
