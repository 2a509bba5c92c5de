use {
    crate::{
        engine::{EngineSetup, FakeEngine},
        kv::FakeKv,
        list::FakeList,
        server::LoopbackServer,
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

/// Size and rates of a deployment of fakes.
#[derive(Debug, Clone)]
pub struct DeploymentSetup {
    /// The engines, all of which serve the same model.
    pub engines: Vec<EngineSetup>,
    /// Number of targets of the booking service.
    pub targets: usize,
    /// Weight of a role change in the manifest.
    pub change_weight: f64,
    /// Decode rate of each engine in the manifest, in tokens per second.
    pub decode_rate: f64,
    /// Rate of the weight store, in bytes per second.
    pub weights_rate: f64,
}

impl Default for DeploymentSetup {
    fn default() -> Self {
        Self {
            engines: vec![EngineSetup::default(); 3],
            targets: 2,
            change_weight: 5.0,
            decode_rate: 16_000.0,
            weights_rate: 1e9,
        }
    }
}

/// Bearer key of the caller `camera`, which may use all models and services.
pub const CAMERA_KEY: &str = "camera-key";
/// Bearer key of the caller `desk`, which may use the booking service and the alias without an
/// adapter.
pub const DESK_KEY: &str = "desk-key";

/// A running deployment of fakes.
pub struct Deployment {
    /// Key-value service.
    pub kv: Arc<FakeKv>,
    /// Server of the key-value service.
    pub kv_server: Arc<LoopbackServer>,
    /// Instance list.
    pub list: Arc<FakeList>,
    /// Server of the instance list.
    pub list_server: Arc<LoopbackServer>,
    /// Server of the weight store.
    pub weights_server: Arc<LoopbackServer>,
    /// The engines, whose ids are `e0`, `e1` and so on.
    pub engines: Vec<Arc<FakeEngine>>,
    /// The targets of the booking service, whose ids are `b0`, `b1` and so on.
    pub targets: Vec<(Arc<FakeService>, Arc<LoopbackServer>)>,
    /// Effects of the calls to all targets.
    pub effects: Arc<Effects>,
    /// The manifest that names the engines and targets.
    pub manifest: Manifest,
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("all names in this module are valid")
}

impl Deployment {
    /// Starts all fakes, and registers the engines and targets in the instance list.
    pub async fn start(setup: DeploymentSetup) -> Self {
        let (kv, kv_server) = FakeKv::start().await;
        let (list, list_server) = FakeList::start().await;
        let (_, weights_server) = FakeWeights::start(setup.weights_rate).await;
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
        let deployment = Self {
            kv,
            kv_server,
            list,
            list_server,
            weights_server,
            engines,
            targets,
            effects,
            manifest,
        };
        deployment.register();
        deployment
    }

    fn register(&self) {
        for (id, spec) in &self.manifest.engines {
            self.list.put(live_entry(id.as_str(), ListKind::Engine, spec.address));
        }
        for service in self.manifest.services.values() {
            for (id, target) in &service.targets {
                self.list.put(live_entry(id.as_str(), ListKind::Target, target.address));
            }
        }
    }

    /// Id of the instance that holds the lease of the engines' cell, read from the store.
    pub fn lease_holder(&self) -> Option<String> {
        let value = self.kv.value("cells/nl-1/holder")?;
        let value: serde_json::Value = serde_json::from_str(&value).ok()?;
        Some(value.pointer("/holder/instance")?.as_str()?.to_owned())
    }

    /// Writes the manifest to the store as a change to revision `base`, and returns the new
    /// revision.
    ///
    /// # Panics
    /// If the store refuses the write.
    pub async fn apply_manifest(&self, base: Revision) -> Revision {
        let store = lentil_node::adapters::HttpStore::new(
            self.kv_server.address,
            std::time::Duration::from_secs(2),
        );
        let current =
            lentil_node::follow::read_manifest(&store).await.expect("the store can be read");
        let old = current.map(|(_, record)| record);
        let record = lentil_core::manifest::ManifestRecord::successor(
            old.as_ref(),
            base,
            self.manifest.clone(),
            lentil_node::app::random_id("test"),
        );
        let value = serde_json::to_string(&record).expect("a manifest can be serialized");
        use lentil_node::ports::ConfigStore;
        let key = lentil_node::follow::MANIFEST_KEY;
        store.swap(key, value, base, None).await.expect("the store accepts the manifest")
    }
}

/// Builds an entry of the instance list in the state `live`.
pub fn live_entry(id: &str, kind: ListKind, address: SocketAddr) -> ListedInstance {
    let (region, zone) = (parse_name("nl"), parse_name("ams-a"));
    let (id, state) = (id.to_owned(), ListState::Live);
    ListedInstance { id, kind, state, address, region, zone, announced: None }
}

fn manifest(
    setup: &DeploymentSetup,
    engines: &[Arc<FakeEngine>],
    targets: &[(Arc<FakeService>, Arc<LoopbackServer>)],
) -> Manifest {
    let model: ModelId = parse_name("vuurbol-groot");
    let adapters = [(
        parse_name("rapport"),
        AdapterSpec { version: parse_name("1"), copies: 1, size: Bytes(1) },
    )];
    let alias = |adapter: Option<&str>| AliasSpec {
        model: parse_name("vuurbol-groot"),
        adapter: adapter.map(parse_name),
    };
    let group = |aliases: Vec<(&str, AliasSpec)>| GroupSpec {
        aliases: aliases.into_iter().map(|(a, s)| (parse_name(a), s)).collect(),
        includes: Vec::new(),
    };
    let class = |first, deadline, priority| ClassSpec {
        first: Millis(first),
        between: Millis(78),
        deadline: Millis(deadline),
        priority,
    };
    Manifest {
        deployment: "fakes".to_owned(),
        weight: ChangeWeight(setup.change_weight),
        models: [(model, ModelSpec { version: parse_name("1"), adapters: adapters.into() })].into(),
        engines: engines.iter().enumerate().map(|(i, e)| engine_entry(setup, i, e)).collect(),
        services: [(parse_name("bookings"), booking_service(targets))].into(),
        classes: [
            (parse_name("report"), class(5_000, 60_000, 1)),
            (parse_name("quick"), class(2_000, 20_000, 5)),
        ]
        .into(),
        groups: [
            (
                parse_name("vuurbol"),
                group(vec![("verslag", alias(Some("rapport"))), ("groot", alias(None))]),
            ),
            (parse_name("nachtoog"), group(vec![("verslag", alias(None))])),
        ]
        .into(),
        workspaces: [
            (parse_name("hemelwacht"), WorkspaceSpec { share: 3.0 }),
            (parse_name("fjordsti"), WorkspaceSpec { share: 1.0 }),
        ]
        .into(),
        callers: [
            caller_entry("camera", CAMERA_KEY, "hemelwacht", "vuurbol", "report"),
            caller_entry("desk", DESK_KEY, "fjordsti", "nachtoog", "quick"),
        ]
        .into(),
    }
}

fn engine_entry(
    setup: &DeploymentSetup,
    i: usize,
    engine: &Arc<FakeEngine>,
) -> (EngineId, EngineSpec) {
    let engine_setup = &setup.engines[i];
    let spec = EngineSpec {
        address: engine.address(),
        region: parse_name("nl"),
        zone: parse_name(["ams-a", "ams-b", "ams-c", "ams-d"][i % 4]),
        cell: parse_name("nl-1"),
        model: parse_name("vuurbol-groot"),
        fenced: engine_setup.fenced,
        rates: EngineRates {
            prefill: TokenRate(engine_setup.prefill_rate),
            decode: TokenRate(setup.decode_rate),
            slots: engine_setup.slots as u32,
            cache: Tokens(engine_setup.cache_blocks as u64 * 64),
        },
    };
    (parse_name(&format!("e{i}")), spec)
}

fn booking_service(targets: &[(Arc<FakeService>, Arc<LoopbackServer>)]) -> ServiceSpec {
    let target = |(i, (_, server)): (usize, &(Arc<FakeService>, Arc<LoopbackServer>))| {
        let spec = TargetSpec { address: server.address, zone: parse_name("ams-a") };
        (parse_name(&format!("b{i}")), spec)
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

fn caller_entry(
    id: &str,
    key: &str,
    workspace: &str,
    group: &str,
    class: &str,
) -> (CallerId, CallerSpec) {
    let spec = CallerSpec {
        key: KeyHash::of(key),
        workspace: parse_name(workspace),
        group: Some(parse_name(group)),
        models: vec![parse_name("vuurbol-groot")],
        services: vec![parse_name("bookings")],
        class: parse_name(class),
    };
    (parse_name(id), spec)
}
