//! The daemon around a seat (design 2.7): carries out effects, syncs off the async threads.

mod drive;
mod folder;
mod leader;
mod reach;
mod serve;

pub use drive::{Drive, MakeDrive, files};
pub use folder::blank;

use crate::{
    change::{Change, Holder, Verdict},
    ledger::Ledger,
    rail::{Ask, Proposed, Reply},
    seat::{Ev, Fx, Image, LogEntry, Seat},
    tenure::Tenures,
};
use common::{Clock, Index, NodeId, Revision, Tick, jot, link::Lines, settings::Settings};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::{oneshot, watch};

pub type SignalLines = Lines<Ask, Reply>;

/// Messages of more than this go by a line of their own, and have a millisecond more for each part.
const BULK: usize = 64 << 10;
const BYTES_A_MS: u64 = 512;

struct Inner {
    seat: Seat,
    tenures: Tenures,
    waiting: BTreeMap<Index, (Change, oneshot::Sender<Proposed>)>,
    /// What governs at each node, by its own last renewal.
    reports: BTreeMap<NodeId, (Index, Revision, Tick)>,
}

pub struct Core {
    pub set: Settings,
    pub clock: Clock,
    pub lines: SignalLines,
    /// For what is long: beats must not wait behind it on their connection (design 2.3).
    bulk: SignalLines,
    inner: Mutex<Inner>,
    disk: Box<dyn Drive>,
    moved: watch::Sender<Index>,
}

/// What operators are shown of a seat.
pub struct View {
    pub ledger: Ledger,
    pub me: Holder,
    pub leader: Option<Holder>,
    pub formed: bool,
    pub voting: bool,
    pub view: u64,
    pub reports: BTreeMap<NodeId, (Index, Revision)>,
}

impl Core {
    /// Takes up a seat from what its disk held, and writes to the drive that is made for it.
    /// A founder waits for so many seats, where they are more than the seeds.
    pub fn start(set: Settings, seats: usize, img: Image, drive: MakeDrive) -> Arc<Core> {
        let clock = Clock::default();
        let mut seat = Seat::new(
            img.me.clone(),
            &set.cluster,
            set.seeds.clone(),
            set.timing.clone(),
            Some(img),
            clock.now(),
        );
        seat.secret = common::ground::draw();
        seat.founds = set.founds;
        seat.expects = seats;
        let (moved, _) = watch::channel(seat.accepted());
        let inner =
            Inner { seat, tenures: Tenures::default(), waiting: BTreeMap::new(), reports: BTreeMap::new() };
        let line = || Lines::new(set.me(), crate::rail::SERVICE);
        let (lines, bulk) = (line(), line());
        let core = Arc::new_cyclic(|me| Core {
            set,
            clock,
            lines,
            bulk,
            inner: Mutex::new(inner),
            disk: drive(me.clone()),
            moved,
        });
        let c = core.clone();
        common::ground::spawn(async move {
            let mut wakeup =
                tokio::time::interval(Duration::from_millis((c.set.timing.beat_ms() / 2).max(5)));
            loop {
                wakeup.tick().await;
                c.step(Ev::Wakeup);
                c.tenure_wakeup();
            }
        });
        core
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn step(self: &Arc<Self>, ev: Ev) {
        let mut g = self.lock();
        let fx = g.seat.step(ev, self.clock.now());
        self.carry_out(&mut g, fx);
    }

    /// The line for a message of that weight, and how long it may take.
    fn line(&self, weight: usize) -> (&SignalLines, u64) {
        let ms = self.set.timing.rail_ms;
        if weight <= BULK { (&self.lines, ms) } else { (&self.bulk, 4 * ms + weight as u64 / BYTES_A_MS) }
    }

    /// Hands the lead over before a planned stop, waits for another to take it, and for a newcomer to
    /// take the seat where one is there.
    pub async fn yield_lead(self: &Arc<Self>) {
        self.step(Ev::Yield);
        let beat = Duration::from_millis(self.set.timing.beat_ms());
        tokio::time::sleep(beat * 3).await;
        while !self.may_stop() {
            tokio::time::sleep(beat).await;
        }
    }

    fn may_stop(&self) -> bool {
        self.lock().seat.may_stop(self.clock.now())
    }

    fn carry_out(self: &Arc<Self>, g: &mut Inner, fx: Vec<Fx>) {
        for f in fx {
            match f {
                Fx::Send { to, msg } => {
                    let (c, from, weight) = (self.clone(), self.set.rail(), msg.weight());
                    common::ground::spawn(async move {
                        let (line, ms) = c.line(weight);
                        let ask = Ask::Seat { from, msg: Box::new(msg) };
                        let _ = line.call_within(ms, "seat", to, ask).await;
                    });
                }
                Fx::Persist { tok, rec } => {
                    self.disk.write(tok, rec);
                }
                Fx::Accepted { entry, verdict } => self.accepted(g, entry, verdict),
                Fx::Framed => {
                    // Places passed over by a frame are not told one by one.
                    std::mem::take(&mut g.waiting)
                        .into_iter()
                        .for_each(|(_, w)| drop(w.1.send(Proposed::Undetermined)));
                    self.moved.send_replace(g.seat.accepted());
                }
                Fx::Lead { view } => {
                    g.tenures = Tenures::taken_over(self.clock.now());
                    jot!(Info, "lead", "view" => view.0);
                }
                Fx::Out => jot!(Error, "seat lost", "cause" => "another holder was accepted for this seat"),
                Fx::Logged { .. } | Fx::NotLogged { .. } => {}
            }
        }
    }

    fn accepted(&self, g: &mut Inner, e: LogEntry, verdict: Verdict) {
        if let Some((ch, tx)) = g.waiting.remove(&e.idx) {
            let same = ch == e.change;
            let _ = tx.send(if same {
                Proposed::Settled { idx: e.idx, verdict }
            } else {
                Proposed::Undetermined
            });
        }
        self.moved.send_replace(g.seat.accepted());
    }

    /// Proposes here, where this seat leads; waits for the verdict for at most `ms`.
    pub async fn propose_here(self: &Arc<Self>, ch: Change, ms: u64) -> Proposed {
        let narrows = ch.narrows();
        let (rx, of) = {
            let mut g = self.lock();
            if let Some(why) = self.may_miss(&g, &ch) {
                return Proposed::NotLogged { leader: g.seat.leader(), why };
            }
            let fx = g.seat.step(Ev::Propose(ch.clone()), self.clock.now());
            let idx = fx.iter().find_map(|f| match f {
                Fx::Logged { idx, .. } => Some(*idx),
                _ => None,
            });
            let (tx, rx) = oneshot::channel();
            if let Some(idx) = idx {
                g.waiting.insert(idx, (ch, tx));
            }
            if idx.is_none() {
                let why = not_logged(&fx);
                self.carry_out(&mut g, fx);
                return Proposed::NotLogged { leader: g.seat.leader(), why };
            }
            let of = Self::members(&g);
            self.carry_out(&mut g, fx);
            (rx, of)
        };
        let until = self.clock.now() + ms;
        match tokio::time::timeout(Duration::from_millis(ms), rx).await {
            Ok(Ok(Proposed::Settled { idx, verdict: v @ Verdict::Accepted { .. } })) if narrows => {
                let held = self.held_by_most(&of, idx, until).await;
                if held { Proposed::Settled { idx, verdict: v } } else { Proposed::Undetermined }
            }
            Ok(Ok(p)) => p,
            _ => Proposed::Undetermined,
        }
    }
}

fn not_logged(fx: &[Fx]) -> String {
    let why = fx.iter().find_map(|f| match f {
        Fx::NotLogged { why, .. } => Some(*why),
        _ => None,
    });
    why.unwrap_or("this seat's disk failed").into()
}
