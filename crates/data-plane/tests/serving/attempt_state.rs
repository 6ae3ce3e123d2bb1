//! Exhaustive search over connections, attempts and answers: everything that can happen to three requests of any
//! kind, one after the other, by the decisions of `attempt_state` and `connection_reuse`, with arbitrary behavior of
//! replicas, network and clients. It is limited to three requests, up to three `tries`, one idle connection at a
//! time, and the answer heads of [`heads`].

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
/// Statuses from which a client concludes that its request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// An idle connection, and what the router can't know about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IdleConnection {
    /// A surplus answer will arrive on it in place of the next one that is due, and whether it carries an id.
    surplus_with_id: Option<bool>,
}

/// What the client has received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ClientResult {
    Nothing,
    /// A replica's answer; `genuine` if it belongs to the request.
    Answer {
        status: u16,
        sealed: bool,
        genuine: bool,
        complete: bool,
    },
    /// The router's own error; `refused` if it says that the request has not run.
    RouterError {
        refused: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The number of the current request.
    request: u8,
    traits: RequestTraits,
    /// How many attempts may reach a replica.
    max_reached: u32,
    attempts: Attempts,
    /// Replicas that were really reached, whether the router knows it or not.
    reached: u32,
    /// Replicas that really ran the request.
    ran: u32,
    /// Retry tokens that were paid and not refunded.
    paid: u32,
    idle: Option<IdleConnection>,
    result: ClientResult,
}

/// What really happened in one attempt.
#[derive(Clone, Copy, Debug)]
enum Event {
    NotOpened,
    /// The connection was reset, or there was no valid answer.
    NoAnswer {
        ran: bool,
    },
    /// The router stopped waiting: it asked another replica, or the stream's first replica continued.
    Abandoned {
        ran: bool,
    },
    /// The head of an answer arrived; `genuine` if it belongs to the request.
    Head {
        head: AnswerHead,
        genuine: bool,
        ran: bool,
    },
}

impl State {
    /// All requests that may come next.
    fn starts(request: u8, idle: Option<IdleConnection>) -> Vec<Self> {
        let mut out = Vec::new();
        for n in 0..12 {
            let (idempotent, has_id, max_reached) = (n & 1 == 0, n & 2 == 0, n / 4 + 1);
            let traits = RequestTraits { idempotent, has_id };
            let attempts = Attempts::new(idempotent, max_reached);
            let (reached, ran, paid, result) = (0, 0, 0, ClientResult::Nothing);
            out.push(Self { request, traits, max_reached, attempts, reached, ran, paid, idle, result });
        }
        out
    }

    /// All states that may follow.
    fn next(self) -> Vec<Self> {
        if self.result != ClientResult::Nothing {
            let has_next = self.request < REQUESTS;
            return if has_next { Self::starts(self.request + 1, self.idle) } else { vec![] };
        }
        // At any moment the router may give up: without a replica, room, token or time.
        let mut out: Vec<Self> = [false, true].map(|late| self.give_up(late)).into();
        let permit = self.attempts.permit();
        if permit == Permit::No {
            return out;
        }
        let mut me = self;
        me.paid += u32::from(permit == Permit::Paid);
        me.attempts.begin(permit == Permit::Paid);
        let idle = me.idle.filter(|_| may_reuse(me.traits));
        if let Some(idle) = idle {
            me.idle = None;
            me.events(Some(idle)).into_iter().for_each(|e| me.after(e, &mut out));
        }
        // A fresh connection, also if the idle one closed before the request was sent.
        me.events(None).into_iter().for_each(|e| me.after(e, &mut out));
        out
    }

    /// The router gives up.
    fn give_up(mut self, late: bool) -> Self {
        self.result =
            ClientResult::RouterError { refused: self.attempts.final_status(late) == FinalStatus::Refused };
        self
    }

    /// All that may happen in an attempt on an idle connection, or on a fresh one.
    fn events(&self, idle: Option<IdleConnection>) -> Vec<Event> {
        let mut out = vec![];
        if idle.is_none() {
            out.push(Event::NotOpened);
        }
        for ran in [false, true] {
            out.push(Event::NoAnswer { ran });
            out.push(Event::Abandoned { ran });
            for head in heads() {
                // The request's own answer: replicas tell the truth about ids and about what they did not run.
                let declined = head.not_run || head.status == 421;
                let own_id = head.id == AnswerId::Own || head.id == AnswerId::Absent;
                if own_id && !(declined && ran) {
                    out.push(Event::Head { head, genuine: true, ran });
                }
                // The answer to another request in its place.
                let Some(with_id) = idle.and_then(|idle| idle.surplus_with_id) else { continue };
                if head.id == if with_id { AnswerId::Other } else { AnswerId::Absent } {
                    out.push(Event::Head { head, genuine: false, ran });
                }
            }
        }
        out
    }

    /// All states after an event.
    fn after(mut self, event: Event, out: &mut Vec<Self>) {
        self.reached += u32::from(!matches!(event, Event::NotOpened));
        if let Event::NoAnswer { ran } | Event::Abandoned { ran } | Event::Head { ran, .. } = event {
            self.ran += u32::from(ran);
        }
        match event {
            Event::NotOpened => out.push(self.end_attempt(AttemptEnd::NotSent)),
            Event::NoAnswer { .. } => out.push(self.end_attempt(AttemptEnd::MayHaveRun)),
            Event::Abandoned { .. } => out.push(self),
            Event::Head { head, genuine, .. } => match check_answer(self.traits, &head) {
                AnswerCheck::Declined => out.push(self.end_attempt(AttemptEnd::Declined)),
                AnswerCheck::MayHaveRun(_) => out.push(self.end_attempt(AttemptEnd::MayHaveRun)),
                AnswerCheck::Answer => {
                    self.end_attempt(AttemptEnd::MayHaveRun).after_body(head, genuine, out);
                }
            },
        }
    }

    fn end_attempt(mut self, end: AttemptEnd) -> Self {
        if self.attempts.end(end) {
            self.paid -= 1;
        }
        self
    }

    /// All states after the body of an answer that may be passed on.
    fn after_body(self, head: AnswerHead, genuine: bool, out: &mut Vec<Self>) {
        // Cut off: another attempt if that is allowed. Part of a stream may have been passed on.
        out.push(self);
        for end in ends() {
            let clean = clean_end(end).is_some();
            let keeps_open = !matches!(end.keep_alive, KeepAlive::Close | KeepAlive::Open(Some(0)));
            let may = end.sent && end.body == BodyEnd::Complete && keeps_open;
            assert!(may || !clean, "reused after {end:?}");
            for surplus_with_id in [None, Some(self.traits.has_id)] {
                let mut me = self;
                me.idle = clean.then_some(IdleConnection { surplus_with_id });
                let complete = end.body == BodyEnd::Complete;
                if complete {
                    // A server error may be dropped in favor of another attempt.
                    out.push(me);
                }
                me.result =
                    ClientResult::Answer { status: head.status, sealed: head.sealed, genuine, complete };
                out.push(me);
            }
        }
    }

    /// What must hold in every state.
    fn check(&self) {
        assert!(self.traits.idempotent || self.ran <= 1, "run twice: {self:?}");
        assert!(self.reached <= self.max_reached, "more replicas than tries: {self:?}");
        assert!(self.reached <= self.paid + 1, "a retry that was not paid for: {self:?}");
        let nothing_ran = self.traits.idempotent || self.ran == 0;
        match self.result {
            ClientResult::Nothing => {}
            ClientResult::RouterError { refused } => {
                assert!(!refused || nothing_ran, "refused, and it ran: {self:?}");
            }
            ClientResult::Answer { status, sealed, genuine, complete } => {
                assert!(genuine, "another request's answer: {self:?}");
                assert!(status >= 200, "not a final answer: {self:?}");
                assert!(!complete || sealed || !(200..300).contains(&status), "no seal: {self:?}");
                assert!(
                    !NOT_RUN_STATUSES.contains(&status) || nothing_ran,
                    "a not-run status, and it ran: {self:?}"
                );
            }
        }
    }
}

/// All ends of an exchange.
fn ends() -> Vec<ExchangeEnd> {
    let mut out = vec![];
    for body in [BodyEnd::Complete, BodyEnd::Broken, BodyEnd::Unread] {
        for keep_alive in KEEP_ALIVES {
            out.extend([true, false].map(|sent| ExchangeEnd { sent, body, keep_alive }));
        }
    }
    out
}

/// All heads of an answer.
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

/// Checks every reachable state, and returns how many there are.
fn search() -> usize {
    // Requests that may never be sent on a connection that others have used.
    for n in 0..3 {
        let traits = RequestTraits { idempotent: n & 1 != 0, has_id: n & 2 != 0 };
        assert!(!may_reuse(traits), "on a used connection: {traits:?}");
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

/// The search with one decision of the product taken out.
fn search_with(broken: Option<&str>) -> usize {
    Simulation::run(1, broken.map(String::from), |_| async { search() })
}

/// A request that is not idempotent never runs twice and is never reported as refused if it ran. No answer goes to
/// another request's client. Retries are counted and paid for. Only connections with a clean end are reused.
#[test]
fn every_reachable_state_is_valid() {
    let states = search_with(None);
    assert!(states > 10_000, "only {states} states were checked");
    println!("{states} states");
}

/// The search finds a violation if any one decision of the product is taken out.
#[rstest]
#[case::foreign("foreign-answer-taken", "another request's answer")]
#[case::seal("success-without-seal", "no seal")]
#[case::promise("promise-passed-on", "a not-run status, and it ran")]
#[case::write_on_used_connection("write-on-kept", "on a used connection")]
#[case::no_id_on_used_connection("no-id-on-kept", "on a used connection")]
#[case::sent_again("write-sent-again", "run twice")]
#[case::tries("tries-not-counted", "more replicas than tries")]
#[case::abandoned("abandoned-not-counted", "more replicas than tries")]
#[case::refused("unknown-called-refused", "refused, and it ran")]
#[case::unread("kept-after-unread", "reused after")]
#[case::half_sent("kept-half-sent", "reused after")]
fn each_removed_decision_is_detected(#[case] broken: &'static str, #[case] expected: &str) {
    let result = std::panic::catch_unwind(|| search_with(Some(broken)));
    let message = result.expect_err("a violation");
    let message = message.downcast_ref::<String>().expect("a message");
    assert!(message.contains(expected), "{message}");
}

/// The headers `Connection` and `Keep-Alive` in all forms that replicas may send.
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
fn keep_alive_headers_are_parsed(
    #[case] http_1_0: bool,
    #[case] connection: &str,
    #[case] keep_alive: &str,
    #[case] expected: KeepAlive,
) {
    assert_eq!(KeepAlive::of(http_1_0, connection, keep_alive), expected);
}
