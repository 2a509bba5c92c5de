use {super::*, crate::ids::Revision};

const MANIFEST_JSON: &str = r#"{
  "deployment": "test", "weight": 5,
  "models": {
    "groot": {"version": "1", "adapters": {"rapport": {"version": "1", "copies": 1, "size": 1}}},
    "klein": {"version": "1"}
  },
  "engines": {
    "e0": {"address": "127.0.0.1:1", "region": "nl", "zone": "a", "cell": "nl-1", "model": "groot",
           "fenced": true, "rates": {"prefill": 1000, "decode": 100, "slots": 4, "cache": 1000}},
    "e1": {"address": "127.0.0.1:2", "region": "nl", "zone": "b", "cell": "nl-1", "model": "klein",
           "fenced": false, "rates": {"prefill": 1000, "decode": 100, "slots": 4, "cache": 1000}}
  },
  "services": {"book": {"targets": {"b0": {"address": "127.0.0.1:3", "zone": "a"}},
    "rules": [{"method": "POST", "prefix": "/quotes", "repeat": "always"}]}},
  "classes": {"quick": {"first": 480, "between": 78, "deadline": 5000, "priority": 1}},
  "groups": {
    "vuurbol": {"aliases": {"verslag": {"model": "groot", "adapter": "rapport"}}},
    "nachtoog": {"aliases": {"verslag": {"model": "klein"}}}
  },
  "workspaces": {"w": {"share": 1}},
  "callers": {
    "c": {"key": "KEY", "workspace": "w", "group": "vuurbol", "models": ["groot"],
          "services": ["book"], "class": "quick"}
  }
}"#;

fn sample_manifest() -> Manifest {
    Manifest::parse(&MANIFEST_JSON.replace("KEY", &KeyHash::of("secret").to_string())).unwrap()
}

fn problems(edit: impl FnOnce(&mut Manifest)) -> Vec<String> {
    let mut manifest = sample_manifest();
    edit(&mut manifest);
    manifest.check().iter().map(ToString::to_string).collect()
}

#[test]
fn check_reports_conflicting_included_aliases() {
    let found = problems(|m| {
        let nachtoog = "nachtoog".parse().unwrap();
        m.groups.get_mut(&"vuurbol".parse().unwrap()).unwrap().includes.push(nachtoog);
    });
    assert_eq!(
        found,
        ["groups.vuurbol.includes[0]: alias \"verslag\" refers to model \"groot\" in group \
          \"vuurbol\" and to model \"klein\" in group \"nachtoog\""]
    );
}

#[test]
fn check_reports_alias_with_the_name_of_another_model() {
    let found = problems(|m| {
        let spec = AliasSpec { model: "groot".parse().unwrap(), adapter: None };
        let group = m.groups.get_mut(&"nachtoog".parse().unwrap()).unwrap();
        group.aliases.insert("klein".parse().unwrap(), spec);
    });
    assert!(found[0].contains("hides the model"), "{found:?}");
}

#[test]
fn check_reports_cell_in_two_regions() {
    let found = problems(|m| {
        m.engines.get_mut(&"e1".parse().unwrap()).unwrap().region = "no".parse().unwrap();
    });
    assert_eq!(found, ["engines.e1.cell: cell \"nl-1\" already has engines in region \"nl\""]);
}

#[test]
fn parse_reports_path_of_unknown_field() {
    let text = MANIFEST_JSON.replace("\"share\": 1", "\"share\": 1, \"shaer\": 2");
    let found = Manifest::parse(&text).unwrap_err();
    assert_eq!(found[0].path, "workspaces.w.shaer");
}

#[test]
fn resolve_uses_aliases_of_the_callers_group() {
    let index = ManifestIndex::new(Revision(1), sample_manifest());
    let (_, caller) = index.caller(Some("secret")).unwrap();
    let found = index.resolve(caller, "verslag").unwrap();
    assert_eq!((found.model.as_str(), found.adapter.unwrap().as_str()), ("groot", "rapport"));
    assert_eq!(
        index.resolve(caller, "klein").unwrap_err().kind,
        crate::error::ErrorKind::Forbidden
    );
    let unknown = index.resolve(caller, "nacht").unwrap_err();
    assert_eq!(unknown.kind, crate::error::ErrorKind::UnknownModel);
}

#[test]
fn repeat_without_a_rule_allows_only_reads() {
    let manifest = sample_manifest();
    let service = &manifest.services[&"book".parse().unwrap()];
    assert_eq!(service.repeat("GET", "/x"), Repeat::Always);
    assert_eq!(service.repeat("POST", "/bookings"), Repeat::Never);
    assert_eq!(service.repeat("POST", "/quotes/1"), Repeat::Always);
}

#[test]
fn patch_applies_diff_only_to_its_base() {
    let old = sample_manifest();
    let mut new = old.clone();
    new.weight = ChangeWeight(9.0);
    new.workspaces.insert("x".parse().unwrap(), WorkspaceSpec { share: 2.0 });
    new.services.clear();
    let changes = diff(&old, &new);
    assert_eq!(changes.len(), 3);
    assert_eq!(patch(&old, &changes).unwrap(), new);
    assert!(patch(&new, &changes).is_err());
}
