//! The retry decision of the serving path (design 9.6), as a state machine without I/O: whose an answer is, whether
//! a request may be tried again, and its final status. [`Attempts`] holds one client request, from its first attempt
//! to its answer. Whether its connection may carry another request is decided in [`super::connection_reuse`].

use common::mutation::enabled as broken;

/// Attempts that reach nobody, after which a request is given up.
pub const MAX_UNSENT: u32 = 4;

/// What matters of a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTraits {
    /// It may run more than once.
    pub idempotent: bool,
    /// It carries an id, which its answer repeats.
    pub has_id: bool,
}

/// The id in an answer, beside that of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerId {
    /// The request's own.
    Own,
    /// It has none.
    Absent,
    /// Another request's.
    Other,
}

/// What matters of an answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerHead {
    pub status: u16,
    /// The replica says that it did not run the request.
    pub not_run: bool,
    pub sealed: bool,
    pub id: AnswerId,
    /// The end of the body can be told from a cut.
    pub ends_surely: bool,
}

/// What an answer's head says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The answer is the request's own, and may be passed on once its body has come whole.
    Answer,
    /// It was not run.
    Declined,
    /// It may have run, and this answer is not passed on.
    MayHaveRun(&'static str),
}

/// Statuses by which a client takes it that its request has not run and never will.
fn status_promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn declines(head: &AnswerHead) -> bool {
    head.status == 421 || (head.not_run && matches!(head.status, 400 | 408 | 429 | 503))
}

/// Judges an answer by its head.
pub fn check_answer(asked: RequestTraits, head: &AnswerHead) -> AnswerCheck {
    let foreign = asked.has_id && head.id == AnswerId::Other;
    if foreign && !broken("foreign-answer-taken") {
        return AnswerCheck::MayHaveRun("it answers another request");
    }
    if declines(head) {
        return AnswerCheck::Declined;
    }
    if asked.has_id && head.id == AnswerId::Absent {
        return AnswerCheck::MayHaveRun("it answers without the request's id");
    }
    if head.status < 200 {
        return AnswerCheck::MayHaveRun("it changes to another protocol");
    }
    if (200..300).contains(&head.status) && !head.sealed && !broken("success-without-seal") {
        return AnswerCheck::MayHaveRun("a success without the replica's seal");
    }
    if !head.ends_surely {
        return AnswerCheck::MayHaveRun("its end can't be told from a cut");
    }
    if !asked.idempotent && status_promises_not_run(head.status) && !broken("promise-passed-on") {
        return AnswerCheck::MayHaveRun("its status promises what the replica does not say");
    }
    AnswerCheck::Answer
}

/// Whether there may be another attempt, and what it costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    No,
    /// Nothing has arrived anywhere yet.
    Free,
    /// It needs a token of the budget that all routers share.
    Paid,
}

/// How an attempt ended, as far as the next one must know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// Nothing of the request reached anybody.
    NotSent,
    /// The replica says that it did not run it.
    Declined,
    /// It may have run.
    MayHaveRun,
}

/// What the client is told when nothing more is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// The promise that nothing ran.
    Refused,
    BadGateway,
    GatewayTimeout,
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempts {
    idempotent: bool,
    most: u32,
    /// Replicas that the request has reached or may have reached.
    arrived: u32,
    unsent: u32,
    may_have_run: bool,
    /// An attempt is under way; whether it was paid for. It counts as arrived until it is known not
    /// to be: one that is abandoned midway stays counted.
    under_way: Option<bool>,
}

impl Attempts {
    /// No attempt yet; `most` are allowed to reach a replica.
    pub fn new(idempotent: bool, most: u32) -> Self {
        let (arrived, unsent) = (0, 0);
        Self { idempotent, most: most.max(1), arrived, unsent, may_have_run: false, under_way: None }
    }

    /// Replicas that the request has reached or may have reached.
    pub fn arrived(&self) -> u32 {
        self.arrived
    }

    fn may_have_run(&self) -> bool {
        self.may_have_run || self.under_way.is_some()
    }

    /// Whether there may be another attempt: none after one that may have run unless the request is idempotent, none
    /// beyond the route's number of attempts, and paid for once the request has reached a replica.
    pub fn permit(&self) -> Permit {
        let once = self.may_have_run() && !self.idempotent && !broken("write-sent-again");
        let most = if broken("tries-not-counted") { u32::MAX } else { self.most };
        if once || self.unsent >= MAX_UNSENT || self.arrived >= most {
            return Permit::No;
        }
        if self.arrived == 0 { Permit::Free } else { Permit::Paid }
    }

    /// An attempt begins: from here on bytes may leave at any moment.
    pub fn begin(&mut self, paid: bool) {
        let abandoned = self.under_way.replace(paid).is_some();
        self.may_have_run |= abandoned;
        if !(abandoned && broken("abandoned-not-counted")) {
            self.arrived += 1;
        }
    }

    /// The attempt under way has ended; whether its token comes back.
    pub fn ended(&mut self, how: AttemptEnd) -> bool {
        let paid = self.under_way.take().unwrap_or(false);
        match how {
            AttemptEnd::NotSent => {
                self.arrived -= 1;
                self.unsent += 1;
            }
            AttemptEnd::Declined => {}
            AttemptEnd::MayHaveRun => self.may_have_run = true,
        }
        paid && how == AttemptEnd::NotSent
    }

    /// The final answer where there is none of a replica: refused only where nothing can have run.
    pub fn last_word(&self, late: bool) -> FinalStatus {
        if !self.may_have_run() || broken("unknown-called-refused") {
            return FinalStatus::Refused;
        }
        if late { FinalStatus::GatewayTimeout } else { FinalStatus::BadGateway }
    }
}
