//! News of pauses, in any order.

use {lentil_core::clock::Time, lentil_node::app::Fleet};

/// Name, news as pairs of number and whether the pause is on, whether it is on after them.
type News<'a> = (&'a str, &'a [(u64, bool)], bool);

#[test]
fn pause_ends_for_good_whatever_the_order_of_news() {
    let engine = "e0".parse().unwrap();
    let cases: [News; 5] = [
        ("begun", &[(1, true)], true),
        ("ended", &[(1, true), (1, false)], false),
        ("begun, heard late", &[(1, false), (1, true)], false),
        ("begun anew", &[(1, true), (1, false), (2, true)], true),
        ("ended, heard late", &[(2, true), (1, false)], true),
    ];
    for (name, news, want) in cases {
        let mut fleet = Fleet::default();
        for (number, on) in news {
            fleet.record_pause(&engine, *number, *on, Time::ZERO);
        }
        assert_eq!(fleet.pause_number(&engine).is_some(), want, "{name}");
    }
}
