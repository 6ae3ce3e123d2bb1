//! A stream that may be shared between threads, as a response body must be.

use std::{
    pin::Pin,
    sync::Mutex,
    task::{Context, Poll},
};

/// Wraps a stream in a mutex. Only the body's connection reads it, so the lock is never contended.
pub struct SyncStream<S>(Mutex<S>);

impl<S> SyncStream<S> {
    /// Makes a stream shareable.
    pub fn new(stream: S) -> Self {
        Self(Mutex::new(stream))
    }
}

impl<S: futures::Stream + Unpin> futures::Stream for SyncStream<S> {
    type Item = S::Item;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<S::Item>> {
        Pin::new(&mut *common::lock(&self.0)).poll_next(context)
    }
}
