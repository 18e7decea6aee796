//! The splitter returns only complete events, however the stream is divided into chunks.

use quickcheck::quickcheck;
use walnuthaven_lib::event_stream;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

fn split(cuts: &[usize]) -> (Vec<event_stream::Event>, Vec<u8>) {
    let mut splitter = event_stream::Splitter::default();
    let mut events = Vec::new();
    let mut start = 0;
    let ends = cuts
        .iter()
        .map(|cut| cut % STREAM.len())
        .chain([STREAM.len()]);
    let mut ends: Vec<_> = ends.collect();
    ends.sort_unstable();
    for end in ends {
        splitter.push(&STREAM[start..end]);
        start = end;
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.remainder().to_vec())
}

quickcheck! {
    fn chunk_boundaries_do_not_matter(cuts: Vec<usize>) -> bool {
        let (events, rest) = split(&cuts);
        let ids: Vec<_> = events.iter().filter_map(|event| event.id).collect();
        let bytes: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        ids == [1, 2, 3] && bytes == STREAM && rest.is_empty()
    }
}

#[test]
fn an_incomplete_event_is_kept() {
    let mut splitter = event_stream::Splitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
    assert_eq!(splitter.next_event(), None);
    assert_eq!(splitter.remainder(), b"id: 2\ndata: b\n");
}

#[test]
fn an_event_that_exceeds_the_limit_is_detected() {
    let mut splitter = event_stream::Splitter::default();
    splitter.push(&vec![b'x'; event_stream::MAX_EVENT_BYTES + 1]);
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.exceeds_max_event());
}
