//! Links between own processes: a handshake, then tarpc over the musli codec (design 1.8).

use crate::{
    fault::{At, Fault, within},
    log_event,
    runtime::{self, Listener, Stream, spawn},
    wire::{Codec, PROTOCOL_VERSION, encode},
};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tarpc::{
    RequestName,
    client::{self, Channel},
    context,
    server::{BaseChannel, Channel as _, serve},
};
use tokio::sync::oneshot;
use tokio_util::codec::Framed;

/// First message on each connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handshake {
    pub proto: u32,
    pub cluster: String,
    pub service: String,
    pub node: String,
}

/// Its answer: nothing, or the named reason for the reject.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandshakeReply {
    #[serde(rename = "bounced")]
    pub rejected: Option<String>,
}

/// Who this process is on a link, and how long it waits there.
#[derive(Clone, Debug)]
pub struct LocalNode {
    pub cluster: String,
    pub node: String,
    pub ip: IpAddr,
    pub wait_ms: u64,
}

fn recode<A, B>(f: Framed<Stream, A>, codec: B) -> Framed<Stream, B> {
    f.map_codec(|_| codec)
}

/// Bytes of a value on the wire, frame apart.
fn length<T: Serialize>(v: &T) -> usize {
    encode(v).map_or(0, |b| b.len())
}

/// What a call outlives its own time-out by, at most, at the node that is asked.
const SPARE: Duration = Duration::from_secs(600);

/// Opening a connection takes three ways there and back, and so may take longer than a call: it goes on
/// behind a call that gave up, for at most so many times the usual wait.
const OPEN_WAITS: u64 = 4;

type Cached<Q, R> = Arc<Mutex<BTreeMap<SocketAddr, Channel<Q, R>>>>;

/// Cached tarpc channels to the processes of one service.
pub struct RpcClient<Q, R> {
    me: LocalNode,
    service: &'static str,
    open: Cached<Q, R>,
}

impl<Q, R> RpcClient<Q, R>
where
    Q: RequestName + Serialize + Send + 'static,
    R: Serialize + DeserializeOwned + Send + 'static,
{
    pub fn new(me: LocalNode, service: &'static str) -> Self {
        Self { me, service, open: Cached::default() }
    }

    /// One call within the usual time; a failed link is dropped and opened anew next time.
    pub async fn call(&self, step: &'static str, to: SocketAddr, q: Q) -> Result<R, Fault> {
        self.call_within(self.me.wait_ms, step, to, q).await
    }

    pub async fn call_within(&self, ms: u64, step: &'static str, to: SocketAddr, q: Q) -> Result<R, Fault> {
        let counted = runtime::world().filter(|w| w.traffic.on());
        let asked = counted.as_ref().map_or(0, |_| length(&q));
        let was_open = self.lock().contains_key(&to);
        let mut ended = false;
        let res = within(ms, step, to, async {
            let res = self.ask(ms, step, to, q).await;
            ended = true;
            res
        })
        .await;
        if let Some(w) = counted {
            let ends = (self.me.ip, to.ip());
            w.traffic.call(ends, (self.service, step), asked, res.as_ref().ok().map(length));
        }
        // A connection that was opened for this call, and took its time, may serve the next one.
        if res.is_err() && (was_open || ended) {
            self.lock().remove(&to);
        }
        res
    }

    async fn ask(&self, ms: u64, step: &'static str, to: SocketAddr, q: Q) -> Result<R, Fault> {
        let channel = self.channel(to).await?;
        let mut ctx = context::current();
        // The time-out of the caller decides; the library's own, on the machine's clock, comes later.
        ctx.deadline = Instant::now() + Duration::from_millis(ms) + SPARE;
        channel.call(ctx, q).await.at(step, to)
    }

    /// The open channel to a process. Where there is none, one is opened by a task of its own, so that
    /// what a call did not wait for serves the next.
    async fn channel(&self, to: SocketAddr) -> Result<Channel<Q, R>, Fault> {
        let found = self.lock().get(&to).cloned();
        if let Some(channel) = found {
            return Ok(channel);
        }
        let (me, service, cached) = (self.me.clone(), self.service, self.open.clone());
        let (tell, told) = oneshot::channel();
        spawn(async move {
            let opened = within(me.wait_ms * OPEN_WAITS, "connect", to, open(&me, service, to)).await;
            if let Ok(channel) = &opened {
                cached.lock().unwrap_or_else(|e| e.into_inner()).insert(to, channel.clone());
            }
            let _ = tell.send(opened);
        });
        told.await.at("connect", to)?
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Channel<Q, R>>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Opens a connection: a handshake, its answer, then a channel for calls.
async fn open<Q, R>(me: &LocalNode, service: &'static str, to: SocketAddr) -> Result<Channel<Q, R>, Fault>
where
    Q: RequestName + Serialize + Send + 'static,
    R: Serialize + DeserializeOwned + Send + 'static,
{
    let io = crate::http::connect(me.ip, to).await?;
    let mut f = Framed::new(io, Codec::<HandshakeReply, Handshake>::handshake());
    let handshake = Handshake {
        proto: PROTOCOL_VERSION,
        cluster: me.cluster.clone(),
        service: service.into(),
        node: me.node.clone(),
    };
    f.send(handshake).await.at("hello", to)?;
    let welcome = f.next().await.ok_or("closed during the hello").at("hello", to)?.at("hello", to)?;
    if let Some(why) = welcome.rejected {
        return Err(Fault::new("hello", to, why));
    }
    let new = client::new(client::Config::default(), recode(f, Codec::default()));
    spawn(new.dispatch);
    Ok(new.client)
}

/// Answers calls of one service until the listener's task is dropped.
pub async fn listen<Q, R, F, Fut>(
    listener: impl Into<Listener>,
    me: LocalNode,
    service: &'static str,
    handler: F,
) where
    Q: RequestName + Serialize + DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    F: Fn(String, Q) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = R> + Send + 'static,
{
    let listener = listener.into();
    loop {
        let Ok((io, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (me, h) = (me.clone(), handler.clone());
        spawn(async move {
            if let Err(e) = answer(io, peer, me, service, h).await {
                log_event!(Warn, e.step, "peer" => e.peer, "cause" => e.cause);
            }
        });
    }
}

async fn answer<Q, R, F, Fut>(
    io: Stream,
    peer: SocketAddr,
    me: LocalNode,
    service: &'static str,
    h: F,
) -> Result<(), Fault>
where
    Q: RequestName + Serialize + DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    F: Fn(String, Q) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = R> + Send + 'static,
{
    let mut f = Framed::new(io, Codec::<Handshake, HandshakeReply>::handshake());
    let handshake = within(me.wait_ms * 4, "hello", peer, async {
        f.next().await.unwrap_or_else(|| Err(std::io::ErrorKind::UnexpectedEof.into())).at("hello", peer)
    })
    .await?;
    let rejected = [
        (
            handshake.proto != PROTOCOL_VERSION,
            format!("protocol {} is not {PROTOCOL_VERSION}", handshake.proto),
        ),
        (handshake.cluster != me.cluster, format!("cluster {:?} is foreign", handshake.cluster)),
        (handshake.service != service, format!("service {:?} is not here", handshake.service)),
    ]
    .into_iter()
    .find_map(|(no, why)| no.then_some(why));
    f.send(HandshakeReply { rejected: rejected.clone() }).await.at("hello", peer)?;
    if let Some(why) = rejected {
        return Err(Fault::new("hello", peer, why));
    }
    let mut jobs = Box::pin(BaseChannel::with_defaults(recode(f, Codec::default())).requests());
    while let Some(job) = jobs.next().await {
        let job = job.at("read message", peer)?;
        let (h, node) = (h.clone(), handshake.node.clone());
        spawn(job.execute(serve(move |_, q| {
            let fut = h(node, q);
            async move { Ok(fut.await) }
        })));
    }
    Ok(())
}
