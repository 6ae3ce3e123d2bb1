//! The operator's document: shared in memory, and compressed where it is written or sent (design 2.8).

use super::SizeLimits;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Visitor};
use std::{borrow::Cow, fmt, ops::Deref, sync::Arc};

/// Longest text of a document, in bytes. Compressed, it may be a quarter of that (design 2.8).
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

struct Inner {
    text: Box<str>,
    /// Length of the text and the text as one LZ4 block; empty if that is not shorter than the text.
    packed: Vec<u8>,
}

/// The text of a document; clones share one copy of it.
#[derive(Clone)]
pub struct Document(Arc<Inner>);

impl Document {
    fn new(text: Box<str>) -> Self {
        let mut packed = lz4_flex::block::compress_prepend_size(text.as_bytes());
        if packed.len() < text.len() {
            packed.shrink_to_fit();
        } else {
            packed = Vec::new();
        }
        Self(Arc::new(Inner { text, packed }))
    }

    /// Length in bytes of the text as it is written and sent, without the few bytes of its framing.
    pub fn packed_len(&self) -> usize {
        self.encoded().1.len()
    }

    /// Whether the document is within the limits on its length, plain and compressed.
    pub fn fits(&self) -> bool {
        self.len() <= MAX_DOCUMENT_BYTES && self.packed_len() <= SizeLimits::default().document()
    }

    /// The bytes that are written and sent, and whether they are compressed.
    fn encoded(&self) -> (bool, &[u8]) {
        match self.0.packed.as_slice() {
            [] => (false, self.0.text.as_bytes()),
            packed => (true, packed),
        }
    }

    fn from_encoded(packed: bool, bytes: Vec<u8>) -> Result<Self, String> {
        if !packed {
            let text = String::from_utf8(bytes).map_err(|e| e.to_string())?;
            return Ok(Self(Arc::new(Inner { text: text.into(), packed: Vec::new() })));
        }
        // Corrupt bytes could claim any length: check it before memory is reserved for the text.
        let (len, _) = lz4_flex::block::uncompressed_size(&bytes).map_err(|e| e.to_string())?;
        if len > MAX_DOCUMENT_BYTES {
            return Err(format!("document length: {len} bytes; allowed: {MAX_DOCUMENT_BYTES}"));
        }
        let text = lz4_flex::block::decompress_size_prepended(&bytes).map_err(|e| e.to_string())?;
        if text.len() != len {
            return Err(format!("document length: {} bytes, but {len} were announced", text.len()));
        }
        let text = String::from_utf8(text).map_err(|e| e.to_string())?;
        Ok(Self(Arc::new(Inner { text: text.into(), packed: bytes })))
    }
}

/// Serializes as one byte string, not as a sequence of numbers.
struct Bytes<'a>(Cow<'a, [u8]>);

impl Serialize for Bytes<'_> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Bytes<'static> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct BytesVisitor;
        impl Visitor<'_> for BytesVisitor {
            type Value = Vec<u8>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("the bytes of a document")
            }
            fn visit_bytes<E>(self, v: &[u8]) -> Result<Vec<u8>, E> {
                Ok(v.to_vec())
            }
            fn visit_byte_buf<E>(self, v: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(v)
            }
        }
        d.deserialize_byte_buf(BytesVisitor).map(|v| Bytes(v.into()))
    }
}

impl Serialize for Document {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let (packed, bytes) = self.encoded();
        (packed, Bytes(bytes.into())).serialize(s)
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let (packed, bytes) = <(bool, Bytes)>::deserialize(d)?;
        Document::from_encoded(packed, bytes.0.into_owned()).map_err(serde::de::Error::custom)
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0) || self.0.text == other.0.text
    }
}

impl Eq for Document {}

impl Deref for Document {
    type Target = str;
    fn deref(&self) -> &str {
        &self.0.text
    }
}

/// Lets a response body hold the text without copying it.
impl AsRef<[u8]> for Document {
    fn as_ref(&self) -> &[u8] {
        self.0.text.as_bytes()
    }
}

impl From<&str> for Document {
    fn from(s: &str) -> Self {
        Self::new(s.into())
    }
}

impl From<String> for Document {
    fn from(s: String) -> Self {
        Self::new(s.into())
    }
}

/// Shows only the length, since the text may be megabytes long.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "document of {} bytes", self.len())
    }
}
