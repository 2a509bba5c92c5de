use {super::*, crate::clock::Time, std::time::Duration};

const TIMES: ConnectionTimes = ConnectionTimes {
    idle: Duration::from_secs(15),
    head: Duration::from_secs(3),
    blocked: Duration::from_secs(30),
};

/// Largest head.
const HEAD: usize = 16 << 10;

fn at(seconds: f64) -> Time {
    Time::from_secs_f64(100.0 + seconds)
}

#[test]
fn yielding_connection_is_the_oldest_head_then_the_longest_idle() {
    let mut table = ConnectionTable::new(ConnectionShare { count: 1, bytes: 1 << 20 });
    let ids: Vec<ConnectionId> = (0..4).map(|i| table.open(HEAD, at(f64::from(i)))).collect();
    table.enter(ids[2], ConnectionState::Head, at(4.0));
    table.enter(ids[0], ConnectionState::Work, at(4.0));
    let mut order = Vec::new();
    while let Some((id, _)) = table.yielding(at(5.0)) {
        order.push(id);
        table.close(id);
    }
    assert_eq!(order, [ids[2], ids[1], ids[3]]);
    assert_eq!((table.len(), table.count(ConnectionState::Work)), (1, 1));
}

#[test]
fn expired_heads_count_from_their_first_byte() {
    let mut table = ConnectionTable::new(ConnectionShare { count: 9, bytes: 1 << 20 });
    let id = table.open(HEAD, at(0.0));
    for second in 0..14 {
        assert!(table.expired(&TIMES, at(f64::from(second))).is_empty());
    }
    table.enter(id, ConnectionState::Head, at(14.0));
    assert!(table.expired(&TIMES, at(16.0)).is_empty());
    assert_eq!(table.expired(&TIMES, at(17.0)), [(id, ConnectionState::Head)]);
}

#[test]
fn expired_connections_do_not_count_a_pause() {
    let mut table = ConnectionTable::new(ConnectionShare { count: 9, bytes: 1 << 20 });
    let id = table.open(HEAD, at(0.0));
    table.enter(id, ConnectionState::Head, at(0.0));
    assert!(table.expired(&TIMES, at(600.0)).is_empty());
    assert_eq!(table.expired(&TIMES, at(602.0)), [(id, ConnectionState::Head)]);
}

#[test]
fn bytes_return_to_zero() {
    let mut table = ConnectionTable::new(ConnectionShare { count: 9, bytes: 1 << 20 });
    let id = table.open(HEAD, at(0.0));
    for state in ConnectionState::ALL {
        table.enter(id, state, at(1.0));
        assert!(table.bytes() > 0);
    }
    table.close(id);
    table.close(id);
    assert_eq!(table.bytes(), 0);
}
