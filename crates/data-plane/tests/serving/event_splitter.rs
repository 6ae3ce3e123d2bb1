//! Tests of `data_plane::serving::stream_relay::EventSplitter`.

use data_plane::serving::stream_relay::EventSplitter;
use rstest::rstest;

const EVENTS: [&str; 4] =
    ["id: 1\ndata: a\n\n", ": note\n\n", "data: é\ndata: id: 9\nid:2\n\n", "id: 3\nevent: end\n\n"];

/// What the splitter gives out for these chunks, and the splitter afterwards.
fn split(chunks: &[&[u8]]) -> (String, EventSplitter) {
    let (mut splitter, mut got) = (EventSplitter::default(), Vec::new());
    for chunk in chunks {
        splitter.push(chunk);
        if let Some(events) = splitter.take_whole_events() {
            assert!(events.ends_with(b"\n\n"), "only whole events are given out");
            got.extend_from_slice(&events);
        }
        assert!(splitter.take_whole_events().is_none(), "each event is given out once");
    }
    (String::from_utf8(got).expect("text"), splitter)
}

/// Wherever the stream is divided into chunks, events come out whole, in order, and once.
#[test]
fn events_come_out_whole_and_once() {
    let all = EVENTS.concat();
    let bytes = all.as_bytes();
    for i in 0..=bytes.len() {
        for j in i..=bytes.len() {
            let (got, mut splitter) = split(&[&bytes[..i], &bytes[i..j], &bytes[j..]]);
            assert_eq!(got, all, "cut at {i} and {j}");
            assert_eq!(splitter.last_id.as_deref(), Some("3"));
            assert!(splitter.take_rest().is_empty());
        }
    }
}

/// After any number of bytes the last id is that of the last whole event.
#[test]
fn last_id_is_that_of_the_last_whole_event() {
    let all = EVENTS.concat();
    let ends: Vec<usize> = (1..=4).map(|n| EVENTS[..n].concat().len()).collect();
    let ids = [Some("1"), Some("1"), Some("2"), Some("3")];
    for n in 0..=all.len() {
        let (got, mut splitter) = split(&[&all.as_bytes()[..n]]);
        let whole = ends.iter().filter(|e| **e <= n).count();
        let upto = whole.checked_sub(1).map_or(0, |k| ends[k]);
        assert_eq!(got, all[..upto]);
        assert_eq!(splitter.last_id.as_deref(), whole.checked_sub(1).and_then(|k| ids[k]), "after {n} bytes");
        assert_eq!(splitter.take_rest(), &all.as_bytes()[upto..n]);
    }
}

/// Part of an event is dropped when the stream is resumed, and does not mix with the same event from another replica.
#[rstest]
#[case(1)]
#[case(7)]
#[case(15)]
fn a_partial_event_is_dropped_on_resume(#[case] half: usize) {
    let mut splitter = EventSplitter::default();
    splitter.push(EVENTS[0].as_bytes());
    splitter.push(&EVENTS[2].as_bytes()[..half]);
    assert_eq!(splitter.take_whole_events().as_deref(), Some(EVENTS[0].as_bytes()));
    splitter.prepare_resume();
    splitter.push(EVENTS[2].as_bytes());
    assert_eq!(splitter.take_whole_events().as_deref(), Some(EVENTS[2].as_bytes()));
    assert_eq!(splitter.last_id.as_deref(), Some("2"));
}
