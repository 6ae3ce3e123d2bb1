//! Connection x try x answer, exhaustively: all that can happen to three requests of any kind, one after
//! the other, by the product's own decisions (`exchange`, `reuse`), with replicas, networks and callers
//! that do their worst. The bound: three requests, `tries` up to three, one connection kept at a time,
//! every answer head of the list below.

use common::runtime::Simulation;
use data_plane::serving::{
    attempt_state::{
        AnswerCheck, AnswerHead, AnswerId, AttemptEnd, Attempts, FinalStatus, Permit, RequestTraits,
        check_answer,
    },
    connection_reuse::{BodyEnd, ExchangeEnd, KeepAlive, clean_end, may_reuse},
};
use rstest::rstest;
use std::collections::HashSet;

const REQUESTS: u8 = 3;
const STATUSES: [u16; 8] = [101, 200, 400, 408, 421, 429, 500, 503];
const KEEP_ALIVES: [KeepAlive; 4] =
    [KeepAlive::Close, KeepAlive::Open(None), KeepAlive::Open(Some(0)), KeepAlive::Open(Some(5_000))];
/// What those statuses promise a client: it has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A connection that is kept, and what the one who keeps it can't see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Kept {
    /// Another answer will come on it, in the place of the next one that is due; whether with an id.
    surplus: Option<bool>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    Answer { status: u16, sealed: bool, genuine: bool, whole: bool },
    Last { refused: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    request: u8,
    asked: RequestTraits,
    most: u32,
    tries: Attempts,
    /// What is true, whoever knows it: replicas that were reached, and those that ran the request.
    reached: u32,
    ran: u32,
    paid: u32,
    kept: Option<Kept>,
    told: Told,
}

/// How one attempt went, as the world has it.
#[derive(Clone, Copy, Debug)]
enum Event {
    NotOpened,
    /// Reset, silence, or an answer that is none.
    LostMember {
        ran: bool,
    },
    /// Nobody waits for it any more: another replica is asked, or the first one went on.
    Abandoned {
        ran: bool,
    },
    Head {
        head: AnswerHead,
        genuine: bool,
        ran: bool,
    },
}

impl State {
    fn starts(request: u8, kept: Option<Kept>) -> Vec<Self> {
        let mut out = Vec::new();
        for n in 0..12 {
            let (idempotent, has_id, most) = (n & 1 == 0, n & 2 == 0, n / 4 + 1);
            let asked = RequestTraits { idempotent, has_id };
            let tries = Attempts::new(idempotent, most);
            let (reached, ran, paid, told) = (0, 0, 0, Told::Nothing);
            out.push(Self { request, asked, most, tries, reached, ran, paid, kept, told });
        }
        out
    }

    /// All that may come next.
    fn next(self) -> Vec<Self> {
        if self.told != Told::Nothing {
            let more = self.request < REQUESTS;
            return if more { Self::starts(self.request + 1, self.kept) } else { vec![] };
        }
        // No replica, no room, no token, no time: at any moment.
        let mut out: Vec<Self> = [false, true].map(|late| self.gives_up(late)).into();
        let permit = self.tries.permit();
        if permit == Permit::No {
            return out;
        }
        let mut me = self;
        me.paid += u32::from(permit == Permit::Paid);
        me.tries.begin(permit == Permit::Paid);
        let kept = me.kept.filter(|_| may_reuse(me.asked));
        if let Some(kept) = kept {
            me.kept = None;
            me.events(Some(kept)).into_iter().for_each(|e| me.after(e, &mut out));
        }
        // Fresh, or since the kept one had ended before the request was put on it.
        me.events(None).into_iter().for_each(|e| me.after(e, &mut out));
        out
    }

    fn gives_up(mut self, late: bool) -> Self {
        self.told = Told::Last { refused: self.tries.final_status(late) == FinalStatus::Refused };
        self
    }

    fn events(&self, kept: Option<Kept>) -> Vec<Event> {
        let mut out = vec![];
        if kept.is_none() {
            out.push(Event::NotOpened);
        }
        for ran in [false, true] {
            out.push(Event::LostMember { ran });
            out.push(Event::Abandoned { ran });
            for head in heads() {
                // Its own answer: a replica does not lie about what it has not run, nor about ids.
                let declined = head.not_run || head.status == 421;
                let own_id = head.id == AnswerId::Own || head.id == AnswerId::Absent;
                if own_id && !(declined && ran) {
                    out.push(Event::Head { head, genuine: true, ran });
                }
                // Another's, in its place.
                let Some(with_id) = kept.and_then(|k| k.surplus) else { continue };
                if head.id == if with_id { AnswerId::Other } else { AnswerId::Absent } {
                    out.push(Event::Head { head, genuine: false, ran });
                }
            }
        }
        out
    }

    fn after(mut self, event: Event, out: &mut Vec<Self>) {
        self.reached += u32::from(!matches!(event, Event::NotOpened));
        if let Event::LostMember { ran } | Event::Abandoned { ran } | Event::Head { ran, .. } = event {
            self.ran += u32::from(ran);
        }
        match event {
            Event::NotOpened => out.push(self.ended(AttemptEnd::NotSent)),
            Event::LostMember { .. } => out.push(self.ended(AttemptEnd::MayHaveRun)),
            Event::Abandoned { .. } => out.push(self),
            Event::Head { head, genuine, .. } => match check_answer(self.asked, &head) {
                AnswerCheck::Declined => out.push(self.ended(AttemptEnd::Declined)),
                AnswerCheck::MayHaveRun(_) => out.push(self.ended(AttemptEnd::MayHaveRun)),
                AnswerCheck::Answer => self.ended(AttemptEnd::MayHaveRun).passes(head, genuine, out),
            },
        }
    }

    fn ended(mut self, how: AttemptEnd) -> Self {
        if self.tries.end(how) {
            self.paid -= 1;
        }
        self
    }

    /// The body of an answer that may be passed on.
    fn passes(self, head: AnswerHead, genuine: bool, out: &mut Vec<Self>) {
        // Cut: another try where that is allowed. What has come of a stream may have been passed on.
        out.push(self);
        for end in ends() {
            let clean = clean_end(end).is_some();
            let kept = !matches!(end.keep_alive, KeepAlive::Close | KeepAlive::Open(Some(0)));
            let may = end.sent && end.body == BodyEnd::Complete && kept;
            assert!(may || !clean, "kept after {end:?}");
            for surplus in [None, Some(self.asked.has_id)] {
                let mut me = self;
                me.kept = clean.then_some(Kept { surplus });
                let whole = end.body == BodyEnd::Complete;
                if whole {
                    // Its own failure may be left for another's answer.
                    out.push(me);
                }
                me.told = Told::Answer { status: head.status, sealed: head.sealed, genuine, whole };
                out.push(me);
            }
        }
    }

    /// What holds at every moment.
    fn check(&self) {
        assert!(self.asked.idempotent || self.ran <= 1, "run twice: {self:?}");
        assert!(self.reached <= self.most, "more replicas than tries: {self:?}");
        assert!(self.reached <= self.paid + 1, "a further try that nobody paid for: {self:?}");
        let nothing_ran = self.asked.idempotent || self.ran == 0;
        match self.told {
            Told::Nothing => {}
            Told::Last { refused } => assert!(!refused || nothing_ran, "refused, and it ran: {self:?}"),
            Told::Answer { status, sealed, genuine, whole } => {
                assert!(genuine, "another's answer: {self:?}");
                assert!(status >= 200, "no answer: {self:?}");
                assert!(!whole || sealed || !(200..300).contains(&status), "no seal: {self:?}");
                assert!(!PROMISES.contains(&status) || nothing_ran, "promised, and it ran: {self:?}");
            }
        }
    }
}

fn ends() -> Vec<ExchangeEnd> {
    let mut out = vec![];
    for body in [BodyEnd::Complete, BodyEnd::Broken, BodyEnd::Unread] {
        for keep_alive in KEEP_ALIVES {
            out.extend([true, false].map(|sent| ExchangeEnd { sent, body, keep_alive }));
        }
    }
    out
}

fn heads() -> Vec<AnswerHead> {
    let mut out = vec![];
    for status in STATUSES {
        for id in [AnswerId::Own, AnswerId::Absent, AnswerId::Other] {
            for bits in 0..8 {
                let (not_run, sealed, end_detectable) = (bits & 1 != 0, bits & 2 != 0, bits & 4 != 0);
                out.push(AnswerHead { status, not_run, sealed, id, end_detectable });
            }
        }
    }
    out
}

/// Looks at every state that can be reached; their number.
fn search() -> usize {
    // What may never be put on a connection that others have used.
    for n in 0..3 {
        let asked = RequestTraits { idempotent: n & 1 != 0, has_id: n & 2 != 0 };
        assert!(!may_reuse(asked), "on a kept connection: {asked:?}");
    }
    let mut open = State::starts(1, None);
    let mut seen: HashSet<State> = open.iter().copied().collect();
    while let Some(state) = open.pop() {
        state.check();
        for next in state.next() {
            if seen.insert(next) {
                open.push(next);
            }
        }
    }
    seen.len()
}

fn search_with(broken: Option<&str>) -> usize {
    Simulation::run(1, broken.map(String::from), |_| async { search() })
}

/// Nothing that may not be repeated is run twice or called refused though it ran; no answer goes to
/// another's caller; further tries are counted and paid for; only clean ends leave a connection.
#[test]
fn every_interleaving_keeps_the_rules() {
    let states = search_with(None);
    assert!(states > 10_000, "only {states} states were looked at");
    println!("{states} states");
}

/// Each decision taken out is missed.
#[rstest]
#[case::foreign("foreign-answer-taken", "another's answer")]
#[case::seal("success-without-seal", "no seal")]
#[case::promise("promise-passed-on", "promised, and it ran")]
#[case::write_kept("write-on-kept", "on a kept connection")]
#[case::no_id_kept("no-id-on-kept", "on a kept connection")]
#[case::sent_again("write-sent-again", "run twice")]
#[case::tries("tries-not-counted", "more replicas than tries")]
#[case::abandoned("abandoned-not-counted", "more replicas than tries")]
#[case::refused("unknown-called-refused", "refused, and it ran")]
#[case::unread("kept-after-unread", "kept after")]
#[case::half_sent("kept-half-sent", "kept after")]
fn what_is_taken_out_is_missed(#[case] broken: &'static str, #[case] expected: &str) {
    let found = std::panic::catch_unwind(|| search_with(Some(broken)));
    let why = found.expect_err("a broken rule");
    let why = why.downcast_ref::<String>().expect("a message");
    assert!(why.contains(expected), "{why}");
}

/// `Connection` and `Keep-Alive` as replicas write them.
#[rstest]
#[case(false, "", "", KeepAlive::Open(None))]
#[case(false, "close", "timeout=5", KeepAlive::Close)]
#[case(false, "x-own, Close", "", KeepAlive::Close)]
#[case(true, "", "", KeepAlive::Close)]
#[case(true, "Keep-Alive", "timeout=5", KeepAlive::Open(Some(5_000)))]
#[case(false, "keep-alive", "max=7, Timeout = 2", KeepAlive::Open(Some(2_000)))]
#[case(false, "keep-alive", "timeout=\"3\"", KeepAlive::Open(Some(3_000)))]
#[case(false, "keep-alive", "timeout=soon", KeepAlive::Open(None))]
#[case(false, "", "timeout=99999999999999999999", KeepAlive::Open(None))]
fn what_a_head_says_of_its_connection(
    #[case] http_1_0: bool,
    #[case] connection: &str,
    #[case] keep_alive: &str,
    #[case] expected: KeepAlive,
) {
    assert_eq!(KeepAlive::of(http_1_0, connection, keep_alive), expected);
}
