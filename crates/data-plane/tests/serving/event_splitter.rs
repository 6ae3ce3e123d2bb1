//! Tests of `data_plane::serving::stream_relay::EventSplitter`.

use data_plane::serving::stream_relay::EventSplitter;
use rstest::rstest;

const EVENTS: [&str; 4] =
    ["id: 1\ndata: a\n\n", ": note\n\n", "data: é\ndata: id: 9\nid:2\n\n", "id: 3\nevent: end\n\n"];

/// What comes out of these chunks, and how many events each piece held.
fn out(chunks: &[&[u8]]) -> (String, EventSplitter) {
    let (mut s, mut got) = (EventSplitter::default(), Vec::new());
    for c in chunks {
        s.push(c);
        if let Some(b) = s.take_whole_events() {
            assert!(b.ends_with(b"\n\n"), "only whole events go out");
            got.extend_from_slice(&b);
        }
        assert!(s.take_whole_events().is_none(), "each goes out once");
    }
    (String::from_utf8(got).expect("text"), s)
}

/// Cut at any two bytes, events come out whole, in order, and once.
#[test]
fn whole_and_once_over_chunk_borders() {
    let all = EVENTS.concat();
    let b = all.as_bytes();
    for i in 0..=b.len() {
        for j in i..=b.len() {
            let (got, mut s) = out(&[&b[..i], &b[i..j], &b[j..]]);
            assert_eq!(got, all, "cut at {i} and {j}");
            assert_eq!(s.last_id.as_deref(), Some("3"));
            assert!(s.take_rest().is_empty());
        }
    }
}

/// The last id is that of the last whole event, at every length.
#[test]
fn last_id_is_of_what_went_out() {
    let all = EVENTS.concat();
    let ends: Vec<usize> = (1..=4).map(|n| EVENTS[..n].concat().len()).collect();
    let ids = [Some("1"), Some("1"), Some("2"), Some("3")];
    for n in 0..=all.len() {
        let (got, mut s) = out(&[&all.as_bytes()[..n]]);
        let whole = ends.iter().filter(|e| **e <= n).count();
        let upto = whole.checked_sub(1).map_or(0, |k| ends[k]);
        assert_eq!(got, all[..upto]);
        assert_eq!(s.last_id.as_deref(), whole.checked_sub(1).and_then(|k| ids[k]), "after {n} bytes");
        assert_eq!(s.take_rest(), &all.as_bytes()[upto..n]);
    }
}

/// Half an event that was forgotten never mixes with its whole from elsewhere.
#[rstest]
#[case(1)]
#[case(7)]
#[case(15)]
fn forgets_half_an_event(#[case] half: usize) {
    let mut s = EventSplitter::default();
    s.push(EVENTS[0].as_bytes());
    s.push(&EVENTS[2].as_bytes()[..half]);
    assert_eq!(s.take_whole_events().as_deref(), Some(EVENTS[0].as_bytes()));
    s.prepare_resume();
    s.push(EVENTS[2].as_bytes());
    assert_eq!(s.take_whole_events().as_deref(), Some(EVENTS[2].as_bytes()));
    assert_eq!(s.last_id.as_deref(), Some("2"));
}
