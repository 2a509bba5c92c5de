use super::*;

fn table(prefixes: &[&str]) -> RouteTable {
    let routes = prefixes.iter().map(|p| sample_route("a.example", p, "s"));
    RouteTable::new(Default::default(), routes, Default::default(), Default::default())
}

#[test]
fn route_takes_the_longest_prefix() {
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
fn route_of_unknown_host_or_path_is_none() {
    let table = table(&["/a/"]);
    for (host, path) in
        [("b.example", "/a/x"), ("a.example", "/b/x"), ("a.example", "/a"), ("a.example", "")]
    {
        assert!(table.route(host, path).is_none(), "{host}{path}");
    }
}

#[test]
fn service_draws_by_weight() {
    let mut route = sample_route("h", "/", "s");
    route.services.push(("t".parse().unwrap(), 0.0));
    for draw in [0.0, 0.5, 0.999_999] {
        assert_eq!(route.service(draw).unwrap().as_str(), "s");
    }
    route.services.clear();
    assert_eq!(route.service(0.5), None);
}

#[test]
fn repeatable_needs_leave_of_the_route() {
    use crate::manifest::Repeat;
    let mut route = sample_route("h", "/", "s");
    assert!(!route.repeatable());
    route.resumable = true;
    assert!(!route.repeatable(), "only streams are resumed");
    route.streams = true;
    assert!(route.repeatable());
    let route = Route { repeat: Repeat::Always, ..sample_route("h", "/", "s") };
    assert!(route.repeatable());
}
