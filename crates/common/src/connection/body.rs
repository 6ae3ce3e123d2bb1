//! The body of a request, read into one piece of memory that is reserved as its bytes arrive and returned with the last
//! copy of the body.

use super::timing::Progress;
use crate::memory_budget::{MemoryBudget, OutOfMemory, Reservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    StatusCode,
    body::{Body as _, Incoming},
};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};

/// Smallest memory of a body that is not empty.
const MIN_CAPACITY: usize = 4 << 10;
/// How often the progress of a body is checked.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that must arrive in that time, or the body is given up if memory is scarce.
const MIN_PROGRESS_BYTES: usize = 8 << 10;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// The connection ended before the end of the body.
    Broken,
    /// It did not arrive in time, or too slowly while memory is scarce.
    TimedOut,
    /// There is no memory for it now, or no room for its connection.
    OutOfMemory,
}

impl BodyError {
    /// The status of the response to the request.
    pub fn status(self) -> StatusCode {
        match self {
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Broken => StatusCode::BAD_REQUEST,
            BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            BodyError::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Seconds after which the request may be sent again; 0 if no time is known.
    pub fn retry_after_s(self) -> u64 {
        u64::from(self == BodyError::OutOfMemory)
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BodyError::TooLarge => "the body is over the limit",
            BodyError::Broken => "the body broke off",
            BodyError::TimedOut => "the body did not arrive in time",
            BodyError::OutOfMemory => "there is no memory for the body now",
        })
    }
}

impl std::error::Error for BodyError {}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        BodyError::OutOfMemory
    }
}

/// The body of a request that a server received.
pub struct RequestBody {
    incoming: Incoming,
    progress: Arc<Progress>,
    memory: Arc<MemoryBudget>,
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, progress: Arc<Progress>, memory: Arc<MemoryBudget>) -> Self {
        Self { incoming, progress, memory }
    }

    /// Reads the whole body, of at most `max_bytes` and within `limit`. One whose announced length is over the limit
    /// is not read at all.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub async fn read(mut self, max_bytes: usize, limit: Duration) -> Result<Bytes, BodyError> {
        let deadline = Instant::now() + limit;
        if self.incoming.size_hint().lower() > max_bytes as u64 {
            return Err(BodyError::TooLarge);
        }
        let mut buffer = BodyBuffer::new(self.expected_bytes(max_bytes), &self.memory);
        let mut check_at = Instant::now() + PROGRESS_INTERVAL;
        let mut length_at_check = 0;
        loop {
            match timeout_at(check_at.min(deadline), self.incoming.frame()).await {
                Ok(None) => break,
                Ok(Some(Err(_))) => return Err(BodyError::Broken),
                Ok(Some(Ok(frame))) => buffer.push(frame.data_ref().map_or(&[], |data| data), max_bytes)?,
                Err(_) => {}
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(BodyError::TimedOut);
            }
            if now >= check_at {
                let is_slow = buffer.bytes.len() - length_at_check < MIN_PROGRESS_BYTES;
                if is_slow && self.memory.is_scarce() {
                    return Err(BodyError::TimedOut);
                }
                (check_at, length_at_check) = (now + PROGRESS_INTERVAL, buffer.bytes.len());
            }
        }
        if !self.progress.request_read() {
            return Err(BodyError::OutOfMemory);
        }
        Ok(buffer.into_bytes())
    }

    /// The announced length, or the limit if none is announced.
    fn expected_bytes(&self, max_bytes: usize) -> usize {
        self.incoming.size_hint().exact().map_or(max_bytes, |bytes| bytes as usize)
    }
}

/// The part of a body that has arrived, in one piece. Pieces of the HTTP library's buffer are copied, since each of them
/// would keep a whole buffer alive.
struct BodyBuffer {
    bytes: Vec<u8>,
    /// Length beyond which the memory never needs to grow.
    expected_bytes: usize,
    memory: Reservation,
}

impl BodyBuffer {
    fn new(expected_bytes: usize, memory: &Arc<MemoryBudget>) -> Self {
        Self { bytes: Vec::new(), expected_bytes, memory: memory.reserve() }
    }

    fn push(&mut self, data: &[u8], max_bytes: usize) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > self.bytes.capacity() {
            self.grow_to(length)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Doubles the memory, up to the expected length.
    fn grow_to(&mut self, length: usize) -> Result<(), OutOfMemory> {
        let doubled = (2 * self.bytes.capacity()).max(MIN_CAPACITY).min(self.expected_bytes);
        let capacity = doubled.max(length);
        self.memory.grow_to(capacity)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// The body; its memory is returned when the last copy is dropped.
    fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
