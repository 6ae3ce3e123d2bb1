//! Connections to replicas (design 9.4), with a type for each state: a [`Fresh`] connection has carried nothing yet,
//! the last exchange on an [`Idle`] one ended cleanly, and an [`InUse`] one carries an exchange. Sending a request
//! consumes a fresh or an idle connection; only a [`CleanEnd`] turns a connection in use into an idle one. In all
//! other cases the connection closes.

use super::{
    connection_reuse::{BodyEnd, CleanEnd, ExchangeEnd, KeepAlive, clean_end},
    request_flush::{FlushTrackingStream, RequestFlush},
};
use bytes::{Bytes, BytesMut};
use common::{
    PeerError, Tick,
    error::with_timeout,
    http::{Body, RequestSender, client_over, connect},
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Version,
    body::{Frame, Incoming},
    http::response::Parts,
};
use std::net::{IpAddr, SocketAddr};

struct Connection {
    sender: RequestSender,
    flush: RequestFlush,
}

/// A connection that was opened for one request and has carried nothing yet.
pub struct Fresh(Connection);

/// A connection whose last exchange ended cleanly, and which may be used until a certain time.
pub struct Idle {
    connection: Connection,
    until: Tick,
}

/// A connection that carries an exchange. No other request can be sent on it.
pub struct InUse(Connection);

/// A connection on which a request may be sent.
pub enum Ready {
    /// One that has carried nothing yet.
    Fresh(Fresh),
    /// One that has carried other requests.
    Idle(Idle),
}

impl Fresh {
    /// Opens a connection from the local address `ip`, within `timeout_ms`.
    ///
    /// # Errors
    /// The connection was refused, or was not open in time.
    pub async fn open(ip: IpAddr, to: SocketAddr, timeout_ms: u64) -> Result<Self, PeerError> {
        with_timeout(timeout_ms, "connect", to, async {
            let flush = RequestFlush::default();
            let io = FlushTrackingStream::new(connect(ip, to).await?, flush.clone());
            let sender = client_over(io, to).await?;
            Ok(Self(Connection { sender, flush }))
        })
        .await
    }
}

impl Idle {
    /// Whether a request may be sent on it now: it is open, the peer has sent nothing since, and its time is not over.
    pub fn usable(&self, now: Tick) -> bool {
        self.until > now && !self.connection.sender.is_closed() && self.connection.sender.is_ready()
    }

    /// Whether it can never be used again. One whose last exchange the HTTP library has not finished yet is not
    /// usable, but may become so.
    pub fn expired(&self, now: Tick) -> bool {
        self.until <= now || self.connection.sender.is_closed()
    }
}

impl InUse {
    fn idle(self, end: CleanEnd, now: Tick) -> Idle {
        Idle { connection: self.0, until: now + end.idle_ms() }
    }
}

impl Ready {
    /// Sends a request, no byte of it after `send_by`, and waits for the head of the answer.
    ///
    /// # Errors
    /// What the HTTP library reports; [`hyper::Error::is_canceled`] means that no byte of the request was sent.
    pub async fn send(self, req: Request<Body>, send_by: Tick) -> Result<Answer, hyper::Error> {
        let mut connection = match self {
            Self::Fresh(Fresh(connection)) => connection,
            Self::Idle(idle) => idle.connection,
        };
        let req = req.map(|body| connection.flush.track(body, send_by));
        let (head, body) = connection.sender.send_request(req).await?.into_parts();
        let keep_alive = keep_alive(&head);
        let body = AnswerBody { body, connection: InUse(connection), keep_alive, end: BodyEnd::Unread };
        Ok(Answer { head, body })
    }
}

/// The values of all headers with this name as one comma-separated list.
fn joined(headers: &HeaderMap, name: &str) -> String {
    let values: Vec<&str> = headers.get_all(name).iter().filter_map(|v| v.to_str().ok()).collect();
    values.join(",")
}

/// What the head of an answer says about reusing its connection.
fn keep_alive(head: &Parts) -> KeepAlive {
    let http_1_0 = head.version == Version::HTTP_10;
    KeepAlive::of(http_1_0, &joined(&head.headers, "connection"), &joined(&head.headers, "keep-alive"))
}

/// An answer whose body is still to be read.
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// The body, to be read.
    pub body: AnswerBody,
}

/// The body of an answer and the connection on which it arrives.
pub struct AnswerBody {
    body: Incoming,
    connection: InUse,
    keep_alive: KeepAlive,
    end: BodyEnd,
}

impl AnswerBody {
    /// The body as the HTTP library has it.
    pub fn incoming(&self) -> &Incoming {
        &self.body
    }

    /// The next frame; `None` after the regular end of the body.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let next = self.body.frame().await;
        match &next {
            None => self.end = BodyEnd::Complete,
            Some(Err(_)) => self.end = BodyEnd::Broken,
            Some(Ok(_)) => {}
        }
        next
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// The body broke off, or is longer than `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes, String> {
        let mut got = BytesMut::new();
        while let Some(frame) = self.frame().await {
            let frame = frame.map_err(|e| e.to_string())?;
            got.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d));
            if got.len() > max_bytes {
                return Err(format!("longer than {max_bytes} bytes"));
            }
        }
        Ok(got.freeze())
    }

    /// The connection if another request may be sent on it; otherwise it closes.
    pub fn finish(self, now: Tick) -> Option<Idle> {
        let sent = self.connection.0.flush.is_flushed();
        let end = clean_end(ExchangeEnd { sent, body: self.end, keep_alive: self.keep_alive })?;
        Some(self.connection.idle(end, now))
    }
}
