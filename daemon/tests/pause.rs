//! Announcements of pauses that arrive out of order.

use {lentil_core::clock::Time, lentil_node::app::Fleet};

/// Name; announcements as pairs of the pause number and whether the pause begins; whether the engine
/// is paused after them.
type Case<'a> = (&'a str, &'a [(u64, bool)], bool);

#[test]
fn ended_pause_stays_ended_in_any_order_of_announcements() {
    let engine = "e0".parse().unwrap();
    let cases: [Case; 5] = [
        ("begun", &[(1, true)], true),
        ("ended", &[(1, true), (1, false)], false),
        ("begin arrives after its end", &[(1, false), (1, true)], false),
        ("begun again", &[(1, true), (1, false), (2, true)], true),
        ("end arrives after a newer begin", &[(2, true), (1, false)], true),
    ];
    for (name, announcements, expected) in cases {
        let mut fleet = Fleet::default();
        for (number, on) in announcements {
            fleet.record_pause(&engine, *number, *on, Time::ZERO);
        }
        assert_eq!(fleet.pause_number(&engine).is_some(), expected, "{name}");
    }
}
