//! The text of a document: shared by all that hold it, never copied (design 2.8).

use serde::{Deserialize, Serialize};
use std::{fmt, ops::Deref, sync::Arc};

#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Document(Arc<str>);

impl Deref for Document {
    type Target = str;
    fn deref(&self) -> &str {
        &self.0
    }
}

/// For bodies that hold it as it is.
impl AsRef<[u8]> for Document {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl From<&str> for Document {
    fn from(s: &str) -> Self {
        Self(s.into())
    }
}

impl From<String> for Document {
    fn from(s: String) -> Self {
        Self(s.into())
    }
}

/// Texts are long: what is shown of one is its length.
impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "document of {} bytes", self.len())
    }
}
