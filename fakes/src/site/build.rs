use {
    crate::{
        engine::{EngineSetup, FakeEngine},
        kv::FakeKv,
        list::FakeList,
        server::Host,
        service::{Effects, FakeService},
        weights::FakeWeights,
    },
    lentil_core::{
        ids::{Bytes, CallerId, EngineId, Millis, ModelId, Revision, TokenRate, Tokens},
        manifest::{
            AdapterSpec, AliasSpec, CallerSpec, ChangeWeight, ClassSpec, EngineRates, EngineSpec,
            GroupSpec, KeyHash, Manifest, ModelSpec, Repeat, RepeatRule, ServiceSpec, TargetSpec,
            WorkspaceSpec,
        },
    },
    lentil_node::ports::{ListKind, ListState, ListedInstance},
    std::{net::SocketAddr, sync::Arc},
};

/// What a deployment is made of.
#[derive(Debug, Clone)]
pub struct SiteSetup {
    /// Engines, all of one model.
    pub engines: Vec<EngineSetup>,
    /// Targets of the booking service.
    pub targets: usize,
    /// Weight of role changes.
    pub weight: f64,
    /// Output tokens per second that the manifest says of an engine.
    pub decode: f64,
    /// Bytes per second of the weight store.
    pub weights: f64,
}

impl Default for SiteSetup {
    fn default() -> Self {
        Self {
            engines: vec![EngineSetup::default(); 3],
            targets: 2,
            weight: 5.0,
            decode: 16_000.0,
            weights: 1e9,
        }
    }
}

/// Key of the caller `camera`, who may reach everything.
pub const CAMERA: &str = "camera-key";
/// Key of the caller `desk`, who may reach the booking service and the small alias.
pub const DESK: &str = "desk-key";

/// A running deployment of stand-ins.
pub struct Site {
    /// Key-value service.
    pub kv: Arc<FakeKv>,
    /// Its server.
    pub kv_host: Arc<Host>,
    /// Instance list.
    pub list: Arc<FakeList>,
    /// Its server.
    pub list_host: Arc<Host>,
    /// Weight store's server.
    pub weights_host: Arc<Host>,
    /// Engines, named `e0`, `e1` and so on.
    pub engines: Vec<Arc<FakeEngine>>,
    /// Targets of the booking service.
    pub targets: Vec<(Arc<FakeService>, Arc<Host>)>,
    /// What the targets' calls have done.
    pub effects: Arc<Effects>,
    /// The manifest that names all of these.
    pub manifest: Manifest,
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("names in this module are good")
}

impl Site {
    /// Starts all stand-ins.
    pub async fn start(setup: SiteSetup) -> Self {
        let (kv, kv_host) = FakeKv::start().await;
        let (list, list_host) = FakeList::start().await;
        let (_, weights_host) = FakeWeights::start(setup.weights).await;
        let effects = Arc::new(Effects::default());
        let mut engines = Vec::new();
        for engine in &setup.engines {
            engines.push(FakeEngine::start(engine.clone()).await);
        }
        let mut targets = Vec::new();
        for _ in 0..setup.targets {
            targets.push(FakeService::start(effects.clone()).await);
        }
        let manifest = manifest(&setup, &engines, &targets);
        let site = Self {
            kv,
            kv_host,
            list,
            list_host,
            weights_host,
            engines,
            targets,
            effects,
            manifest,
        };
        site.enlist();
        site
    }

    fn enlist(&self) {
        for (id, spec) in &self.manifest.engines {
            self.list.put(listed(id.as_str(), ListKind::Engine, spec.address));
        }
        for service in self.manifest.services.values() {
            for (id, target) in &service.targets {
                self.list.put(listed(id.as_str(), ListKind::Target, target.address));
            }
        }
    }

    /// The instance that holds the engines' cell, by the store.
    pub fn holder(&self) -> Option<String> {
        let value = self.kv.value("cells/nl-1/holder")?;
        let value: serde_json::Value = serde_json::from_str(&value).ok()?;
        Some(value.pointer("/holder/instance")?.as_str()?.to_owned())
    }

    /// Writes the manifest to the store, made from revision `base`.
    ///
    /// # Panics
    /// If it can't be written.
    pub async fn apply(&self, base: Revision) -> Revision {
        let store = lentil_node::adapters::HttpStore::new(
            self.kv_host.address,
            std::time::Duration::from_secs(2),
        );
        let found = lentil_node::follow::read_manifest(&store).await.expect("the store answers");
        let old = found.map(|(_, record)| record);
        let record = lentil_core::manifest::ManifestRecord::successor(
            old.as_ref(),
            base,
            self.manifest.clone(),
            lentil_node::app::random_id("test"),
        );
        let value = serde_json::to_string(&record).expect("a manifest can be written");
        use lentil_node::ports::ConfigStore;
        let key = lentil_node::follow::MANIFEST_KEY;
        store.swap(key, value, base, None).await.expect("the store takes the manifest")
    }
}

/// An entry of the instance list that lives.
pub fn listed(id: &str, kind: ListKind, address: SocketAddr) -> ListedInstance {
    let (region, zone) = (name("nl"), name("ams-a"));
    ListedInstance { id: id.to_owned(), kind, state: ListState::Live, address, region, zone }
}

fn manifest(
    setup: &SiteSetup,
    engines: &[Arc<FakeEngine>],
    targets: &[(Arc<FakeService>, Arc<Host>)],
) -> Manifest {
    let model: ModelId = name("vuurbol-groot");
    let adapters =
        [(name("rapport"), AdapterSpec { version: name("1"), copies: 1, size: Bytes(1) })];
    let alias = |adapter: Option<&str>| AliasSpec {
        model: name("vuurbol-groot"),
        adapter: adapter.map(name),
    };
    let group = |aliases: Vec<(&str, AliasSpec)>| GroupSpec {
        aliases: aliases.into_iter().map(|(a, s)| (name(a), s)).collect(),
        includes: Vec::new(),
    };
    let class = |first, deadline, priority| ClassSpec {
        first: Millis(first),
        between: Millis(78),
        deadline: Millis(deadline),
        priority,
    };
    Manifest {
        deployment: "stand-ins".to_owned(),
        weight: ChangeWeight(setup.weight),
        models: [(model, ModelSpec { version: name("1"), adapters: adapters.into() })].into(),
        engines: engines.iter().enumerate().map(|(i, e)| engine(setup, i, e)).collect(),
        services: [(name("bookings"), bookings(targets))].into(),
        classes: [
            (name("report"), class(5_000, 60_000, 1)),
            (name("quick"), class(2_000, 20_000, 5)),
        ]
        .into(),
        groups: [
            (
                name("vuurbol"),
                group(vec![("verslag", alias(Some("rapport"))), ("groot", alias(None))]),
            ),
            (name("nachtoog"), group(vec![("verslag", alias(None))])),
        ]
        .into(),
        workspaces: [
            (name("hemelwacht"), WorkspaceSpec { share: 3.0 }),
            (name("fjordsti"), WorkspaceSpec { share: 1.0 }),
        ]
        .into(),
        callers: [
            caller("camera", CAMERA, "hemelwacht", "vuurbol", "report"),
            caller("desk", DESK, "fjordsti", "nachtoog", "quick"),
        ]
        .into(),
    }
}

fn engine(setup: &SiteSetup, i: usize, engine: &Arc<FakeEngine>) -> (EngineId, EngineSpec) {
    let made = &setup.engines[i];
    let spec = EngineSpec {
        address: engine.address(),
        region: name("nl"),
        zone: name(["ams-a", "ams-b", "ams-c", "ams-d"][i % 4]),
        cell: name("nl-1"),
        model: name("vuurbol-groot"),
        fenced: made.fenced,
        rates: EngineRates {
            prefill: TokenRate(made.prefill),
            decode: TokenRate(setup.decode),
            slots: made.slots as u32,
            cache: Tokens(made.blocks as u64 * 64),
        },
    };
    (name(&format!("e{i}")), spec)
}

fn bookings(targets: &[(Arc<FakeService>, Arc<Host>)]) -> ServiceSpec {
    let target = |(i, (_, host)): (usize, &(Arc<FakeService>, Arc<Host>))| {
        let spec = TargetSpec { address: host.address, zone: name("ams-a") };
        (name(&format!("b{i}")), spec)
    };
    let rule = |method: &str, prefix: &str, repeat| RepeatRule {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        repeat,
    };
    ServiceSpec {
        targets: targets.iter().enumerate().map(target).collect(),
        rules: vec![
            rule("POST", "/quotes", Repeat::Always),
            rule("POST", "/vouchers", Repeat::Keyed),
        ],
        timeout: Millis(5_000),
    }
}

fn caller(
    id: &str,
    key: &str,
    workspace: &str,
    group: &str,
    class: &str,
) -> (CallerId, CallerSpec) {
    let spec = CallerSpec {
        key: KeyHash::of(key),
        workspace: name(workspace),
        group: Some(name(group)),
        models: vec![name("vuurbol-groot")],
        services: vec![name("bookings")],
        class: name(class),
    };
    (name(id), spec)
}
