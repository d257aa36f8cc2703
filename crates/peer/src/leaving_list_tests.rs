use super::LeavingList;

/// Guards against the word of an upstream's next instance being taken for old news about the one
/// before, and against the word of an instance that a list's word hides.
#[test]
fn word_of_a_later_instance_is_news() {
    let mut list = LeavingList::default();
    let cases = [
        (None, true),
        (None, false),
        (Some(5), true),
        (Some(5), false),
        (Some(4), false),
        (None, false),
        (Some(6), true),
    ];
    for (number, (started_ms, is_news)) in cases.into_iter().enumerate() {
        let added = list.add(1, "engine-1", started_ms, 0);
        assert_eq!(added, is_news, "case {number}");
        let sent = list.take(1, 1, 1_000);
        let expected = if is_news {
            vec![started_ms]
        } else {
            Vec::new()
        };
        let sent: Vec<Option<u64>> = sent.iter().map(|leaving| leaving.started_ms).collect();
        assert_eq!(sent, expected, "case {number}");
    }
}
