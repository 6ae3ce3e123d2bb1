//! Cores of more than three seats (design 2.2, 2.3, 2.5), message by message.

use common::{Incarnation, Index, Tick, View, settings::Timing};
use control_plane::{
    Change, Ledger,
    change::Holder,
    seat::{Ev, Fx, Image, LogEntry, MOST_SEATS, Seat, SeatMsg, Tail, Voter},
};
use rstest::rstest;
use std::{collections::BTreeMap, net::SocketAddr};

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)))
}

fn holder(n: u8, inc: u64) -> Holder {
    let node = format!("s{n}");
    Holder {
        seat: n,
        inc: Incarnation(inc),
        node: node.as_str().into(),
        area: "a".into(),
        rail: addr(n),
        http: addr(n),
    }
}

fn voter(n: u8, inc: u64) -> Voter {
    Voter { seat: n, inc: Incarnation(inc) }
}

fn formed(n: u8, of: u8, promised: u64) -> Seat {
    let roster = (0..of).map(|n| holder(n, 10 + u64::from(n))).collect();
    let img = Image {
        formed: true,
        promised: View(promised),
        ledger: Ledger::founded("c", roster),
        ..Seat::blank_image(&holder(n, 10 + u64::from(n)))
    };
    Seat::new(img.me.clone(), "c", (0..3).map(addr).collect(), Timing::default(), Some(img), Tick(10_000))
}

fn canvassed(s: &mut Seat, now: Tick) -> Option<View> {
    s.step(Ev::Wakeup, now).iter().find_map(|f| match f {
        Fx::Send { msg: SeatMsg::Canvass { view, .. }, .. } => Some(*view),
        _ => None,
    })
}

/// No two seats ever stand for the same view, whatever each has promised.
#[test]
fn views_are_their_candidates_own() {
    let mut whose: BTreeMap<View, u8> = BTreeMap::new();
    for promised in 0..60 {
        for n in 0..MOST_SEATS as u8 {
            let mut s = formed(n, MOST_SEATS as u8, promised);
            let view = canvassed(&mut s, Tick(60_000)).expect("it stands");
            assert!(view > View(promised));
            assert_eq!(*whose.entry(view).or_insert(n), n, "{view} is another's too");
        }
    }
}

/// A founder waits for those that it was told to expect, but not for long.
#[rstest]
#[case::all_there(2, 100, Some(5))]
#[case::one_is_missing(1, 100, None)]
#[case::one_never_comes(1, 4_500, Some(4))]
#[case::none_comes(0, 4_500, Some(3))]
fn a_founder_waits_for_the_others(#[case] others: u8, #[case] ms: u64, #[case] seats: Option<usize>) {
    let me = holder(0, 90);
    let img = Seat::blank_image(&me);
    let mut s = Seat::new(me, "c", (0..3).map(addr).collect(), Timing::default(), Some(img), Tick(10_000));
    s.expects = 5;
    let mut now = Tick(11_000);
    let end = now + ms;
    while now < end && !s.formed {
        now = now + 50;
        for n in (1..3).chain(3..3 + others) {
            let holder = holder(n, 90 + u64::from(n));
            let census = SeatMsg::Census { holder, formed: false, roster: vec![], idx: Index(0) };
            s.step(Ev::Msg(addr(n), census), now);
        }
        s.step(Ev::Wakeup, now);
    }
    assert_eq!(s.formed.then_some(s.ledger.roster.len()), seats);
}

/// Found by the simulator (five seats, seed 616): a seat that did not know of a swap led with the
/// votes of the replaced holder and of one more, while the others had accepted under the newer roster.
#[rstest]
#[case::with_the_replaced_holder(&[(0, 10), (3, 13)], false)]
#[case::with_two_that_still_hold_seats(&[(3, 13), (4, 14)], true)]
fn votes_count_by_the_roster_of_the_log_that_is_taken(#[case] from: &[(u8, u64)], #[case] leads: bool) {
    let mut s = formed(2, 5, 0);
    let now = Tick(60_000);
    let view = canvassed(&mut s, now).expect("it stands");
    for (n, inc) in [(0, 10), (3, 13)] {
        s.step(Ev::Msg(addr(n), SeatMsg::Canvassed { by: voter(n, inc), view }), now);
    }
    let swap = LogEntry { idx: Index(1), change: Change::Roster(holder(0, 77)) };
    let mut led = false;
    for (n, inc) in from {
        let knows = *n != 0;
        let tail = Tail {
            log_view: View(u64::from(knows)),
            last: Index(u64::from(knows)),
            accepted: Index(0),
            frame: None,
            entries: if knows { vec![swap.clone()] } else { vec![] },
        };
        let stopped = SeatMsg::Stopped { by: voter(*n, *inc), view, tail };
        let fx = s.step(Ev::Msg(addr(*n), stopped), now);
        led |= fx.iter().any(|f| matches!(f, Fx::Lead { .. }));
    }
    assert_eq!(led, leads);
}
