use super::*;

fn table(prefixes: &[&str]) -> RouteTable {
    let routes = prefixes.iter().map(|p| sample_route("a.example", p, "s"));
    RouteTable::new(Default::default(), routes, Default::default(), Default::default())
}

#[test]
fn route_selects_longest_matching_prefix() {
    let table = table(&["/", "/a/", "/a/b/"]);
    let cases = [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a/bc/d", "/a/"),
        ("/ab", "/"),
        ("/", "/"),
    ];
    for (path, want) in cases {
        assert_eq!(table.route("a.example", path).unwrap().prefix, want, "{path}");
    }
}

#[test]
fn route_is_none_for_unknown_host_or_path() {
    let table = table(&["/a/"]);
    for (host, path) in
        [("b.example", "/a/x"), ("a.example", "/b/x"), ("a.example", "/a"), ("a.example", "")]
    {
        assert!(table.route(host, path).is_none(), "{host}{path}");
    }
}

#[test]
fn service_never_selects_zero_weight() {
    let mut route = sample_route("h", "/", "s");
    route.services.push(("t".parse().unwrap(), 0.0));
    for draw in [0.0, 0.5, 0.999_999] {
        assert_eq!(route.service(draw).unwrap().as_str(), "s");
    }
    route.services.clear();
    assert_eq!(route.service(0.5), None);
}

#[test]
fn repeatable_requires_idempotent_or_resumable_stream() {
    use crate::manifest::Repeat;
    let mut route = sample_route("h", "/", "s");
    assert!(!route.repeatable());
    route.resumable = true;
    assert!(!route.repeatable(), "only streams can be resumed");
    route.streams = true;
    assert!(route.repeatable());
    let route = Route { repeat: Repeat::Always, ..sample_route("h", "/", "s") };
    assert!(route.repeatable());
}
