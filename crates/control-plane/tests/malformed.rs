//! Messages that no seat of this cluster sends (design 2.9): thrown at a blank seat, a follower and a
//! leader. Each is refused by name, takes no vote and no state, and the seat goes on as before.

use common::{
    Incarnation, Index, Tick, View,
    settings::Timing,
    wire::{dec, enc},
};
use control_plane::{
    Change, Ledger,
    change::Holder,
    seat::{Body, Ev, Fx, Image, LogEntry, Refusal, Seat, SeatMsg, Tail, Voter},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::net::SocketAddr;

const NOW: Tick = Tick(20_000);
const MOST: u64 = u64::MAX;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)))
}

fn holder(n: u8) -> Holder {
    Holder {
        seat: n,
        inc: Incarnation(10 + u64::from(n)),
        node: format!("s{n}").as_str().into(),
        area: "a".into(),
        rail: address(n),
        http: address(n),
    }
}

fn roster() -> Vec<Holder> {
    (0..3).map(holder).collect()
}

fn voter(n: u8) -> Voter {
    Voter { seat: n, inc: Incarnation(10 + u64::from(n)) }
}

fn entry(n: u64) -> LogEntry {
    let change = Change::Evacuate {
        op: format!("o{n}").as_str().into(),
        area: "a".into(),
        on: true,
        seen: Index(u64::MAX),
    };
    LogEntry { idx: Index(n), change }
}

fn state(idx: u64) -> Ledger {
    let mut ledger = Ledger::founded("c", roster());
    (1..=idx.min(5)).for_each(|n| {
        ledger.fold(Index(n), &entry(n).change);
    });
    ledger.idx = Index(idx);
    ledger
}

fn seat(image: Image) -> Seat {
    let seeds = (0..3).map(address).collect();
    Seat::new(image.me.clone(), "c", seeds, Timing::default(), Some(image), Tick(10_000))
}

fn blank() -> Seat {
    seat(Seat::blank_image(&Holder { seat: u8::MAX, inc: Incarnation(90), ..holder(2) }))
}

/// Seat 0 with five accepted changes, in the view 8 that it leads or once led.
fn formed() -> Seat {
    let blank = Seat::blank_image(&holder(0));
    seat(Image { formed: true, promised: View(8), log_view: View(8), ledger: state(5), ..blank })
}

/// The same, as the leader of view 16 by the vote of seat 1, with six logged and five accepted.
fn leader() -> Seat {
    let mut s = formed();
    s.step(Ev::Wakeup, NOW);
    let view = View(16);
    s.step(Ev::Msg(address(1), SeatMsg::Canvassed { by: voter(1), view }), NOW);
    s.step(Ev::Synced(1), NOW);
    let tail =
        Tail { log_view: View(8), last: Index(5), accepted: Index(5), frame: None, entries: Vec::new() };
    s.step(Ev::Msg(address(1), SeatMsg::Stopped { by: voter(1), view, tail }), NOW);
    s.step(Ev::Synced(2), NOW);
    s.step(Ev::Msg(address(1), holds(16, 5, 5, NOW)), NOW);
    assert!(s.current(NOW), "{:?}", s.post);
    s.step(Ev::Propose(entry(6).change), NOW);
    assert_eq!(s.last(), Index(6));
    s
}

/// Seat 0 as it gathers the ends of the others' logs for view 16.
fn candidate() -> Seat {
    let mut s = formed();
    s.step(Ev::Wakeup, NOW);
    s.step(Ev::Msg(address(1), SeatMsg::Canvassed { by: voter(1), view: View(16) }), NOW);
    s.step(Ev::Synced(1), NOW);
    s
}

fn holds(view: u64, last: u64, accepted: u64, stamp: Tick) -> SeatMsg {
    let (last, accepted) = (Index(last), Index(accepted));
    SeatMsg::Held { by: voter(1), view: View(view), installed: true, last, accepted, stamp }
}

fn feed(view: u64, accepted: u64, body: Body) -> SeatMsg {
    let (view, accepted) = (View(view), Index(accepted));
    SeatMsg::Feed { by: voter(1), to: 0, view, accepted, stamp: NOW, body }
}

fn install(cut: u64, frame: Option<Ledger>, entries: &[u64]) -> Body {
    Body::Install { cut: Index(cut), frame, entries: entries.iter().copied().map(entry).collect() }
}

fn append(prev: u64, entries: &[u64]) -> Body {
    Body::Append { prev: Index(prev), entries: entries.iter().copied().map(entry).collect() }
}

fn stopped(log_view: u64, last: u64, accepted: u64, frame: Option<Ledger>, entries: &[u64]) -> SeatMsg {
    let entries = entries.iter().copied().map(entry).collect();
    let tail =
        Tail { log_view: View(log_view), last: Index(last), accepted: Index(accepted), frame, entries };
    SeatMsg::Stopped { by: voter(1), view: View(16), tail }
}

fn foreign(idx: u64) -> Ledger {
    Ledger { cluster: "another".into(), ..state(idx) }
}

fn with_roster(roster: Vec<Holder>) -> Ledger {
    Ledger { roster, ..state(9) }
}

fn census(roster: Vec<Holder>, idx: u64) -> SeatMsg {
    SeatMsg::Census { holder: holder(1), formed: true, roster, idx: Index(idx) }
}

/// All of a seat that a message could change and that must outlive it.
fn shown(s: &Seat) -> String {
    format!(
        "{} {} {} {:?} {:?} {} {} {} {} {} {:?}",
        s.formed,
        s.promised,
        s.log_view,
        s.ledger,
        s.log,
        s.base,
        s.synced,
        s.dead,
        s.out,
        s.last(),
        s.post
    )
}

/// Refused by that name, with no other effect, and nothing of the seat changed.
fn refused(mut s: Seat, msg: SeatMsg, why: Refusal) {
    let before = shown(&s);
    let fx = s.step(Ev::Msg(address(1), msg.clone()), NOW);
    let named = matches!(fx.as_slice(), [Fx::Refused { why: w, .. }] if *w == why);
    assert!(named, "{msg:?}: {fx:?}");
    assert_eq!(shown(&s), before, "{msg:?}");
}

#[rstest]
#[case::feed_of_a_view_out_of_reach(feed(MOST - 6, 5, Body::Ping), Refusal::ViewOutOfReach)]
#[case::feed_in_the_view_of_another(feed(18, 5, Body::Ping), Refusal::ViewOfAnother)]
#[case::feed_of_a_place_out_of_reach(feed(17, MOST, Body::Ping), Refusal::IndexOutOfReach)]
#[case::state_of_another_cluster(feed(17, 9, install(0, Some(foreign(9)), &[])), Refusal::ForeignCluster)]
#[case::state_at_a_place_out_of_reach(feed(17, 9, install(0, Some(state(MOST)), &[])), Refusal::IndexOutOfReach)]
#[case::state_without_a_roster(feed(17, 9, install(0, Some(with_roster(vec![])), &[])), Refusal::UnsoundRoster)]
#[case::state_with_a_seat_twice(
    feed(17, 9, install(0, Some(with_roster(vec![holder(1), holder(1)])), &[])), Refusal::UnsoundRoster)]
#[case::entries_that_begin_late(feed(17, 5, install(5, None, &[7, 8])), Refusal::Gap)]
#[case::entries_with_a_gap(feed(17, 5, install(5, None, &[6, 8])), Refusal::Gap)]
#[case::entries_that_go_back(feed(17, 5, install(5, None, &[6, 7, 6])), Refusal::Gap)]
#[case::entries_that_do_not_follow_the_state(feed(17, 9, install(9, Some(state(9)), &[11])), Refusal::Gap)]
#[case::appended_with_a_gap(feed(17, 5, append(5, &[6, 9])), Refusal::Gap)]
#[case::appended_elsewhere(feed(17, 5, append(5, &[9])), Refusal::Gap)]
#[case::stop_of_a_view_out_of_reach(
    SeatMsg::Stop { by: voter(1), view: View(MOST - 6), accepted: Index(0) }, Refusal::ViewOutOfReach)]
#[case::stop_in_the_view_of_another(
    SeatMsg::Stop { by: voter(1), view: View(24), accepted: Index(0) }, Refusal::ViewOfAnother)]
#[case::canvass_of_a_view_out_of_reach(
    SeatMsg::Canvass { by: voter(1), view: View(MOST - 6) }, Refusal::ViewOutOfReach)]
#[case::roster_of_nobody(census(vec![], 99), Refusal::UnsoundRoster)]
#[case::roster_of_too_many(census((0..9).map(holder).collect(), 99), Refusal::UnsoundRoster)]
#[case::roster_at_a_place_out_of_reach(census(roster(), MOST), Refusal::IndexOutOfReach)]
#[case::founding_with_a_history(SeatMsg::Found { ledger: state(3) }, Refusal::WrongEnd)]
#[case::founding_of_another_cluster(SeatMsg::Found { ledger: foreign(0) }, Refusal::ForeignCluster)]
fn no_seat_takes_it(
    #[case] msg: SeatMsg,
    #[case] why: Refusal,
    #[values(blank, formed, candidate, leader)] at: fn() -> Seat,
) {
    refused(at(), msg, why);
}

#[rstest]
#[case::feed(SeatMsg::Feed {
    by: voter(0), to: 0, view: View(24), accepted: Index(5), stamp: NOW, body: Body::Ping })]
#[case::stop(SeatMsg::Stop { by: voter(0), view: View(24), accepted: Index(5) })]
#[case::vote(SeatMsg::Canvassed { by: voter(0), view: View(16) })]
#[case::held(SeatMsg::Held {
    by: voter(0), view: View(16), installed: true, last: Index(6), accepted: Index(5), stamp: NOW })]
fn its_own_name_is_no_sender(#[case] msg: SeatMsg, #[values(formed, candidate, leader)] at: fn() -> Seat) {
    refused(at(), msg, Refusal::OwnName);
}

#[rstest]
#[case::more_than_was_logged(holds(16, 7, 5, NOW), Refusal::HoldsMore)]
#[case::a_place_out_of_reach(holds(16, MOST, 5, NOW), Refusal::IndexOutOfReach)]
#[case::accepted_past_its_end(holds(16, 6, MOST / 512, NOW), Refusal::WrongEnd)]
#[case::from_the_future(holds(16, 6, 5, NOW + 1), Refusal::AnswerFromFuture)]
#[case::in_a_view_out_of_reach(holds(MOST, 6, 5, NOW), Refusal::ViewOutOfReach)]
fn a_leader_counts_no_absurd_answer(#[case] msg: SeatMsg, #[case] why: Refusal) {
    refused(leader(), msg, why);
}

#[rstest]
#[case::longer_than_its_entries(stopped(8, 9, 5, None, &[6, 7]), Refusal::WrongEnd)]
#[case::longer_without_entries(stopped(8, 9, 5, None, &[]), Refusal::WrongEnd)]
#[case::with_a_gap(stopped(8, 9, 5, None, &[6, 9]), Refusal::Gap)]
#[case::that_begins_late(stopped(8, 9, 5, None, &[8, 9]), Refusal::Gap)]
#[case::of_a_later_view_than_asked(stopped(17, 6, 5, None, &[6]), Refusal::ViewOutOfReach)]
#[case::accepted_past_its_end(stopped(8, 6, 7, None, &[6]), Refusal::WrongEnd)]
#[case::of_another_cluster(stopped(8, 9, 9, Some(foreign(9)), &[]), Refusal::ForeignCluster)]
#[case::at_a_place_out_of_reach(stopped(8, MOST, 5, None, &[6]), Refusal::IndexOutOfReach)]
fn a_candidate_takes_no_absurd_log(#[case] msg: SeatMsg, #[case] why: Refusal) {
    refused(candidate(), msg, why);
}

/// Sound messages of those who have no say: an older term, a removed member, nobody it knows.
#[rstest]
#[case::stop_of_an_older_view(SeatMsg::Stop { by: voter(1), view: View(1), accepted: Index(0) })]
#[case::vote_for_an_older_view(SeatMsg::Canvassed { by: voter(1), view: View(8) })]
#[case::feed_of_an_older_view(feed(1, 5, append(5, &[6, 7])))]
#[case::stop_of_a_removed_member(
    SeatMsg::Stop { by: Voter { seat: 1, inc: Incarnation(1) }, view: View(25), accepted: Index(0) })]
#[case::feed_of_a_removed_member(SeatMsg::Feed {
    by: Voter { seat: 1, inc: Incarnation(1) }, to: 0, view: View(25), accepted: Index(5), stamp: NOW,
    body: append(5, &[6, 7]) })]
#[case::held_by_a_removed_member(SeatMsg::Held {
    by: Voter { seat: 1, inc: Incarnation(1) }, view: View(16), installed: true, last: Index(6),
    accepted: Index(5), stamp: NOW })]
#[case::yield_of_a_removed_member(
    SeatMsg::Yield { by: Voter { seat: 1, inc: Incarnation(1) }, view: View(17) })]
fn who_has_no_say_changes_nothing(
    #[case] msg: SeatMsg,
    #[values(formed, candidate, leader)] at: fn() -> Seat,
) {
    let mut s = at();
    let before = shown(&s);
    let fx = s.step(Ev::Msg(address(1), msg.clone()), NOW);
    let vote = |f: &Fx| {
        matches!(
            f,
            Fx::Send { msg: SeatMsg::Canvassed { .. } | SeatMsg::Stopped { .. }, .. }
                | Fx::Accepted { .. }
                | Fx::Persist { .. }
        )
    };
    assert!(!fx.iter().any(vote), "{msg:?}: {fx:?}");
    assert_eq!(shown(&s), before, "{msg:?}");
}

/// What has no say does not keep a leader from its work.
#[test]
fn a_leader_goes_on_behind_all_of_it() {
    let mut s = leader();
    for msg in [holds(16, MOST, 5, NOW), holds(16, 6, 5, NOW + 9_999), feed(MOST - 6, 5, Body::Ping)] {
        s.step(Ev::Msg(address(1), msg), NOW);
    }
    s.step(Ev::Synced(3), NOW);
    let fx = s.step(Ev::Msg(address(1), holds(16, 6, 5, NOW)), NOW);
    assert!(fx.iter().any(|f| matches!(f, Fx::Accepted { .. })), "{fx:?}");
    assert!(!s.current(NOW + 5_000), "a stamp of the future does not lengthen the lead");
}

/// A feed of an older view that comes late: its answer goes to a seat that leads the newer one by now, so
/// it may not name what is not synced.
#[test]
fn a_late_feed_is_not_answered_by_what_is_not_synced() {
    let mut s = formed();
    let fx = s.step(Ev::Msg(address(1), feed(17, 5, install(5, None, &[6, 7]))), NOW);
    assert!(matches!(fx.as_slice(), [Fx::Persist { .. }]), "{fx:?}");
    let late = s.step(Ev::Msg(address(1), feed(9, 5, Body::Ping)), NOW);
    let held = |f: &Fx| matches!(f, Fx::Send { msg: SeatMsg::Held { .. }, .. });
    assert!(!late.iter().any(held), "{late:?}");
    let told = s.step(Ev::Synced(1), NOW);
    assert!(told.iter().any(held), "{told:?}");
}

/// Encoded messages with bytes changed, cut off or repeated: what can still be read is thrown at each seat.
/// Nothing panics, no accepted change is lost, and the seat stays of its cluster.
#[test]
fn random_bytes_lose_nothing() {
    let whole = [
        feed(17, 7, install(5, None, &[6, 7])),
        feed(17, 9, install(0, Some(state(9)), &[10])),
        feed(17, 6, append(5, &[6])),
        stopped(8, 7, 6, None, &[6, 7]),
        stopped(8, 9, 9, Some(state(9)), &[]),
        holds(16, 6, 5, NOW),
        census(roster(), 9),
        SeatMsg::Stop { by: voter(1), view: View(17), accepted: Index(5) },
        SeatMsg::Canvass { by: voter(1), view: View(17) },
        SeatMsg::Plea { holder: holder(2) },
        SeatMsg::Found { ledger: state(0) },
    ];
    let mut rng = SmallRng::seed_from_u64(7);
    let mut read = 0;
    for msg in &whole {
        let bytes = enc(msg).unwrap();
        for cut in 0..bytes.len() {
            assert!(dec::<SeatMsg>(&bytes[..cut]).is_err(), "cut off at {cut}: {msg:?}");
        }
        for _ in 0..4_000 {
            let mut bytes = bytes.clone();
            for _ in 0..rng.random_range(1..4) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
            let Ok(msg) = dec::<SeatMsg>(&bytes) else { continue };
            read += 1;
            for at in [blank, formed, candidate, leader] {
                let mut s = at();
                let accepted = s.accepted();
                s.step(Ev::Msg(address(1), msg.clone()), NOW);
                s.step(Ev::Synced(9), NOW);
                (0..80).for_each(|n| drop(s.step(Ev::Wakeup, NOW + n * 50)));
                assert!(s.accepted() >= accepted, "{msg:?}");
                assert!(!s.formed || s.ledger.cluster == "c", "{msg:?}");
            }
        }
    }
    assert!(read > 500, "{read} of them could still be read");
}
