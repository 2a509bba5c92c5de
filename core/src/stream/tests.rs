use super::*;

fn chunk(run: &str, offset: u64) -> Chunk {
    Chunk { run: run.parse().unwrap(), offset, text: "t".into(), end: None }
}

#[test]
fn pass_refuses_foreign_repeated_and_missing_chunks() {
    let mut check = StreamCheck::new("r".parse().unwrap(), 0);
    check.accept(&chunk("r", 0)).unwrap();
    check.accept(&chunk("r", 1)).unwrap();
    assert!(matches!(check.accept(&chunk("q", 2)), Err(ChunkError::Foreign { .. })));
    assert_eq!(check.accept(&chunk("r", 1)), Err(ChunkError::Offset { next: 2, found: 1 }));
    assert_eq!(check.accept(&chunk("r", 3)), Err(ChunkError::Offset { next: 2, found: 3 }));
    let last = Chunk { end: Some(EndReason::Stop), ..chunk("r", 2) };
    check.accept(&last).unwrap();
    assert!(check.ended());
    assert_eq!(check.accept(&chunk("r", 2)), Err(ChunkError::Ended));
}

#[test]
fn open_refuses_another_key_and_any_altered_digit() {
    let ticket = Ticket {
        engine: "e0".parse().unwrap(),
        run: "run".parse().unwrap(),
        base: 7,
        caller: "c".parse().unwrap(),
    };
    let id = ticket.seal(b"key");
    assert_eq!(Ticket::open(&id, b"key"), Ok(ticket));
    assert_eq!(Ticket::open(&id, b"other"), Err(TicketError));
    for i in 0..id.len() {
        let mut altered = id.clone().into_bytes();
        altered[i] = if altered[i] == b'0' { b'1' } else { b'0' };
        let altered = String::from_utf8(altered).unwrap();
        assert_eq!(Ticket::open(&altered, b"key"), Err(TicketError), "digit {i}");
    }
}
