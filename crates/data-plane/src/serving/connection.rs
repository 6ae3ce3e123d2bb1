//! A connection to a replica (design 9.4), by what is certain of it: [`Fresh`] has carried nothing,
//! [`Idle`] has ended its last exchange cleanly, [`InUse`] carries one. A request consumes one of the
//! first two; only [`CleanEnd`] turns the third into an idle one. All else closes it.

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
    outgoing: RequestFlush,
}

/// Opened for one request; has carried nothing yet.
pub struct Fresh(Connection);

/// Its last exchange ended cleanly, and it may be used until a certain time.
pub struct Idle {
    connection: Connection,
    until: Tick,
}

/// Carries an exchange. There is no way to put another request on it.
pub struct InUse(Connection);

/// A connection on which a request may be put.
pub enum Ready {
    Fresh(Fresh),
    Idle(Idle),
}

impl Fresh {
    pub async fn open(ip: IpAddr, to: SocketAddr, ms: u64) -> Result<Self, PeerError> {
        with_timeout(ms, "connect", to, async {
            let outgoing = RequestFlush::default();
            let io = FlushTrackingStream::new(connect(ip, to).await?, outgoing.clone());
            let sender = client_over(io, to).await?;
            Ok(Self(Connection { sender, outgoing }))
        })
        .await
    }
}

impl Idle {
    /// Open still, silent since, and inside its time.
    pub fn usable(&self, now: Tick) -> bool {
        self.until > now && !self.connection.sender.is_closed() && self.connection.sender.is_ready()
    }

    /// Not usable now or ever again; one whose end has not been seen to yet may become usable.
    pub fn over(&self, now: Tick) -> bool {
        self.until <= now || self.connection.sender.is_closed()
    }
}

impl InUse {
    fn idle(self, end: CleanEnd, now: Tick) -> Idle {
        Idle { connection: self.0, until: now + end.idle_ms() }
    }
}

impl Ready {
    /// Puts a request on the connection, no byte of it after `leave_by`, and waits for the head of its answer.
    pub async fn send(self, req: Request<Body>, leave_by: Tick) -> Result<Answer, hyper::Error> {
        let mut connection = match self {
            Self::Fresh(Fresh(connection)) => connection,
            Self::Idle(idle) => idle.connection,
        };
        let req = req.map(|body| connection.outgoing.of(body, leave_by));
        let (head, body) = connection.sender.send_request(req).await?.into_parts();
        let said = said(&head);
        let body = AnswerBody { body, connection: InUse(connection), said, end: BodyEnd::Unread };
        Ok(Answer { head, body })
    }
}

fn joined(headers: &HeaderMap, name: &str) -> String {
    let values: Vec<&str> = headers.get_all(name).iter().filter_map(|v| v.to_str().ok()).collect();
    values.join(",")
}

fn said(head: &Parts) -> KeepAlive {
    let old = head.version == Version::HTTP_10;
    KeepAlive::of(old, &joined(&head.headers, "connection"), &joined(&head.headers, "keep-alive"))
}

/// An answer whose body is still to come.
pub struct Answer {
    pub head: Parts,
    pub body: AnswerBody,
}

/// The body of an answer, and the connection that it comes by.
pub struct AnswerBody {
    body: Incoming,
    connection: InUse,
    said: KeepAlive,
    end: BodyEnd,
}

impl AnswerBody {
    pub fn incoming(&self) -> &Incoming {
        &self.body
    }

    /// The next frame; nothing at the body's own end.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let next = self.body.frame().await;
        match &next {
            None => self.end = BodyEnd::Whole,
            Some(Err(_)) => self.end = BodyEnd::Broken,
            Some(Ok(_)) => {}
        }
        next
    }

    /// Reads all that is left, up to a bound.
    pub async fn whole(&mut self, most: usize) -> Result<Bytes, String> {
        let mut got = BytesMut::new();
        while let Some(frame) = self.frame().await {
            let frame = frame.map_err(|e| e.to_string())?;
            got.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d));
            if got.len() > most {
                return Err(format!("longer than {most} bytes"));
            }
        }
        Ok(got.freeze())
    }

    /// The connection, where another request may be put on it; else it closes.
    pub fn finish(self, now: Tick) -> Option<Idle> {
        let sent = self.connection.0.outgoing.has_left();
        let end = clean_end(ExchangeEnd { sent, body: self.end, said: self.said })?;
        Some(self.connection.idle(end, now))
    }
}
