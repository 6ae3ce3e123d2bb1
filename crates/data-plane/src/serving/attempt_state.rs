//! The retry decisions for a client's request (design 9.6), as a state machine without I/O: whether an answer belongs
//! to the request, whether the request may be tried again, and its final status. [`Attempts`] covers one request from
//! its first attempt to its answer. Whether a connection may carry another request is decided in
//! [`super::connection_reuse`].

use common::mutation;

/// A request is given up after this many attempts that reached no replica.
pub const MAX_UNSENT: u32 = 4;

/// The properties of a client's request that the decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTraits {
    /// It may run more than once.
    pub idempotent: bool,
    /// It carries an id, which its answer has to repeat.
    pub has_id: bool,
}

/// The request id in an answer, compared with that of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerId {
    /// The id of this request.
    Own,
    /// The answer carries no id.
    Absent,
    /// The id of another request.
    Other,
}

/// The properties of an answer's head that the decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The replica says that it did not run the request.
    pub not_run: bool,
    /// It carries the mark of an answer that the replica produced itself.
    pub sealed: bool,
    /// Whose request id it carries.
    pub id: AnswerId,
    /// A complete body can be told from one that was cut off.
    pub end_detectable: bool,
}

/// What is certain about a request by the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerCheck {
    /// The answer belongs to the request, and may be passed on if its body is complete.
    Answer,
    /// The replica did not run the request.
    Declined,
    /// The request may have run, but the answer must not be passed on, for this reason.
    MayHaveRun(&'static str),
}

/// Statuses from which a client concludes that its request has not run and never will.
fn status_promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether the replica says that it did not run the request.
fn declines(head: &AnswerHead) -> bool {
    head.status == 421 || (head.not_run && matches!(head.status, 400 | 408 | 429 | 503))
}

/// Decides by the head of an answer whether it belongs to the request and may be passed on.
pub fn check_answer(request: RequestTraits, head: &AnswerHead) -> AnswerCheck {
    let foreign = request.has_id && head.id == AnswerId::Other;
    if foreign && !mutation::enabled("foreign-answer-taken") {
        return AnswerCheck::MayHaveRun("the answer carries the id of another request");
    }
    if declines(head) {
        return AnswerCheck::Declined;
    }
    if request.has_id && head.id == AnswerId::Absent {
        return AnswerCheck::MayHaveRun("the answer lacks the request's id");
    }
    if head.status < 200 {
        return AnswerCheck::MayHaveRun("the answer switches to another protocol");
    }
    if (200..300).contains(&head.status) && !head.sealed && !mutation::enabled("success-without-seal") {
        return AnswerCheck::MayHaveRun("the answer is a success without the replica's seal");
    }
    if !head.end_detectable {
        return AnswerCheck::MayHaveRun("the end of the answer can't be told from a cut-off");
    }
    if !request.idempotent && status_promises_not_run(head.status) && !mutation::enabled("promise-passed-on")
    {
        return AnswerCheck::MayHaveRun(
            "the status means that nothing ran, but the replica does not say so itself",
        );
    }
    AnswerCheck::Answer
}

/// Whether another attempt is allowed, and what it costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// No further attempt.
    No,
    /// Allowed without a token: the request has reached no replica yet.
    Free,
    /// Allowed for a token of the retry budget that all routers share.
    Paid,
}

/// How an attempt ended, as far as it matters for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// No byte of the request reached a replica.
    NotSent,
    /// The replica says that it did not run the request.
    Declined,
    /// The replica may have run the request.
    MayHaveRun,
}

/// What the client is told when there is no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// 503: the request has certainly not run.
    Refused,
    /// 502: the request may have run.
    BadGateway,
    /// 504: the request may have run, and its deadline has passed.
    GatewayTimeout,
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempts {
    idempotent: bool,
    /// How many attempts may reach a replica.
    max_reached: u32,
    /// Attempts that reached a replica or may have reached one.
    reached: u32,
    /// Attempts that reached no replica.
    unsent: u32,
    may_have_run: bool,
    /// The current attempt, if there is one, and whether it was paid for. It counts in `reached` until it is known
    /// not to have reached a replica, so that an attempt that is abandoned midway stays counted.
    current_paid: Option<bool>,
}

impl Attempts {
    /// A request before its first attempt; `max_reached` attempts may reach a replica, but at least one.
    pub fn new(idempotent: bool, max_reached: u32) -> Self {
        let (reached, unsent) = (0, 0);
        let max_reached = max_reached.max(1);
        Self { idempotent, max_reached, reached, unsent, may_have_run: false, current_paid: None }
    }

    /// Attempts that reached a replica or may have reached one.
    pub fn reached(&self) -> u32 {
        self.reached
    }

    fn may_have_run(&self) -> bool {
        self.may_have_run || self.current_paid.is_some()
    }

    /// Whether another attempt is allowed: none if the request may have run and is not idempotent, and none beyond the
    /// route's number of attempts. It has to be paid for once the request has reached a replica.
    pub fn permit(&self) -> Permit {
        let must_not_repeat =
            self.may_have_run() && !self.idempotent && !mutation::enabled("write-sent-again");
        let max_reached = if mutation::enabled("tries-not-counted") { u32::MAX } else { self.max_reached };
        if must_not_repeat || self.unsent >= MAX_UNSENT || self.reached >= max_reached {
            return Permit::No;
        }
        if self.reached == 0 { Permit::Free } else { Permit::Paid }
    }

    /// An attempt begins: from now on bytes of the request may be sent at any time.
    pub fn begin(&mut self, paid: bool) {
        let abandoned = self.current_paid.replace(paid).is_some();
        self.may_have_run |= abandoned;
        if !(abandoned && mutation::enabled("abandoned-not-counted")) {
            self.reached += 1;
        }
    }

    /// The current attempt has ended. Returns whether its token has to be refunded.
    pub fn end(&mut self, end: AttemptEnd) -> bool {
        let paid = self.current_paid.take().unwrap_or(false);
        match end {
            AttemptEnd::NotSent => {
                self.reached -= 1;
                self.unsent += 1;
            }
            AttemptEnd::Declined => {}
            AttemptEnd::MayHaveRun => self.may_have_run = true,
        }
        paid && end == AttemptEnd::NotSent
    }

    /// The status for the client when no replica gave an answer; `late` if the deadline has passed. The request is
    /// [`FinalStatus::Refused`] only if no attempt can have run.
    pub fn final_status(&self, late: bool) -> FinalStatus {
        if !self.may_have_run() || mutation::enabled("unknown-called-refused") {
            return FinalStatus::Refused;
        }
        if late { FinalStatus::GatewayTimeout } else { FinalStatus::BadGateway }
    }
}
