use {
    super::{AliasSpec, Manifest, Problem, Repeat},
    crate::ids::{Alias, CellId, GroupId, Region},
    std::collections::BTreeMap,
};

/// Maximum number of engines in a cell.
pub const MAX_CELL_ENGINES: usize = 150;

impl Manifest {
    /// Returns all semantic problems of the manifest, section by section, such as references to
    /// undefined entries and values out of range.
    pub fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_models(&mut problems);
        self.check_engines(&mut problems);
        self.check_services(&mut problems);
        self.check_classes(&mut problems);
        self.check_groups(&mut problems);
        self.check_callers(&mut problems);
        problems
    }

    fn check_models(&self, problems: &mut Vec<Problem>) {
        if !(self.weight.0.is_finite() && self.weight.0 >= 0.0) {
            problems.push(Problem::new(
                "weight",
                "change weight must be a finite number of at least 0",
            ));
        }
        for id in self.models.keys() {
            if !self.engines.values().any(|e| e.model == *id) {
                let text = format!("no engine serves model {:?}", id.as_str());
                problems.push(Problem::new(format!("models.{id}"), text));
            }
        }
    }

    fn check_engines(&self, problems: &mut Vec<Problem>) {
        let mut cells: BTreeMap<&CellId, (&Region, usize)> = BTreeMap::new();
        for (id, engine) in &self.engines {
            if !self.models.contains_key(&engine.model) {
                let text = format!("model {:?} does not exist", engine.model.as_str());
                problems.push(Problem::new(format!("engines.{id}.model"), text));
            }
            let rates = &engine.rates;
            if rates.prefill.0 <= 0.0 || rates.decode.0 <= 0.0 || rates.slots == 0 {
                let text = "prefill, decode and slots must be greater than 0";
                problems.push(Problem::new(format!("engines.{id}.rates"), text));
            }
            let cell = cells.entry(&engine.cell).or_insert((&engine.region, 0));
            cell.1 += 1;
            if cell.0 != &engine.region {
                let text = format!(
                    "cell {:?} already has engines in region {:?}",
                    engine.cell.as_str(),
                    cell.0.as_str()
                );
                problems.push(Problem::new(format!("engines.{id}.cell"), text));
            }
            if cell.1 == MAX_CELL_ENGINES + 1 {
                let text = format!(
                    "cell {:?} has more than {MAX_CELL_ENGINES} engines",
                    engine.cell.as_str()
                );
                problems.push(Problem::new(format!("engines.{id}.cell"), text));
            }
        }
    }

    fn check_services(&self, problems: &mut Vec<Problem>) {
        for (id, service) in &self.services {
            if service.targets.is_empty() {
                let text = "service has no targets";
                problems.push(Problem::new(format!("services.{id}.targets"), text));
            }
            for (i, rule) in service.rules.iter().enumerate() {
                let is_read = ["GET", "HEAD"].contains(&rule.method.as_str());
                if is_read && rule.repeat == Repeat::Keyed {
                    let text = "GET and HEAD requests can't require an idempotency key";
                    problems.push(Problem::new(format!("services.{id}.rules[{i}].repeat"), text));
                }
                if !rule.prefix.starts_with('/') {
                    let text = format!("prefix {:?} does not start with '/'", rule.prefix);
                    problems.push(Problem::new(format!("services.{id}.rules[{i}].prefix"), text));
                }
            }
        }
    }

    fn check_classes(&self, problems: &mut Vec<Problem>) {
        for (name, class) in &self.classes {
            if class.first > class.deadline {
                let text = "must not be greater than the deadline of the class";
                problems.push(Problem::new(format!("classes.{name}.first"), text));
            }
        }
        for (id, workspace) in &self.workspaces {
            if !(workspace.share.is_finite() && workspace.share > 0.0) {
                let text = "share must be a finite number greater than 0";
                problems.push(Problem::new(format!("workspaces.{id}.share"), text));
            }
        }
    }

    fn check_groups(&self, problems: &mut Vec<Problem>) {
        for (id, group) in &self.groups {
            let mut seen: BTreeMap<&Alias, (&GroupId, &AliasSpec)> = BTreeMap::new();
            for (alias, spec) in &group.aliases {
                let path = format!("groups.{id}.aliases.{alias}");
                self.check_alias(&path, alias, spec, problems);
                seen.insert(alias, (id, spec));
            }
            for (i, included_id) in group.includes.iter().enumerate() {
                let path = format!("groups.{id}.includes[{i}]");
                let Some(included) = self.groups.get(included_id) else {
                    let text = format!("group {:?} does not exist", included_id.as_str());
                    problems.push(Problem::new(path, text));
                    continue;
                };
                for (alias, spec) in &included.aliases {
                    let Some((other_group, other_spec)) = seen.insert(alias, (included_id, spec))
                    else {
                        continue;
                    };
                    if other_spec != spec {
                        let text = format!(
                            "alias {:?} refers to model {:?} in group {:?} \
                             and to model {:?} in group {:?}",
                            alias.as_str(),
                            other_spec.model.as_str(),
                            other_group.as_str(),
                            spec.model.as_str(),
                            included_id.as_str()
                        );
                        problems.push(Problem::new(&path, text));
                    }
                }
            }
        }
    }

    fn check_alias(
        &self,
        path: &str,
        alias: &Alias,
        spec: &AliasSpec,
        problems: &mut Vec<Problem>,
    ) {
        let Some(model) = self.models.get(&spec.model) else {
            let text = format!("model {:?} does not exist", spec.model.as_str());
            problems.push(Problem::new(format!("{path}.model"), text));
            return;
        };
        if let Some(adapter) = &spec.adapter {
            if !model.adapters.contains_key(adapter) {
                let text = format!(
                    "adapter {:?} does not exist in model {:?}",
                    adapter.as_str(),
                    spec.model.as_str()
                );
                problems.push(Problem::new(format!("{path}.adapter"), text));
            }
        }
        let is_model_name = self.models.keys().any(|m| m.as_str() == alias.as_str());
        if is_model_name && spec.model.as_str() != alias.as_str() {
            let text = format!(
                "alias {:?} hides the model of the same name and refers to model {:?}",
                alias.as_str(),
                spec.model.as_str()
            );
            problems.push(Problem::new(path, text));
        }
    }

    fn check_callers(&self, problems: &mut Vec<Problem>) {
        let mut keys = BTreeMap::new();
        for (id, caller) in &self.callers {
            let path = format!("callers.{id}");
            if let Some(other) = keys.insert(caller.key, id) {
                let text = format!("key is already used by caller {:?}", other.as_str());
                problems.push(Problem::new(format!("{path}.key"), text));
            }
            let mut require = |exists: bool, field: &str, kind: &str, name: &str| {
                if !exists {
                    let text = format!("{kind} {name:?} does not exist");
                    problems.push(Problem::new(format!("{path}.{field}"), text));
                }
            };
            let workspace = &caller.workspace;
            require(
                self.workspaces.contains_key(workspace),
                "workspace",
                "workspace",
                workspace.as_str(),
            );
            require(
                self.classes.contains_key(&caller.class),
                "class",
                "class",
                caller.class.as_str(),
            );
            if let Some(group) = &caller.group {
                require(self.groups.contains_key(group), "group", "group", group.as_str());
            }
            for (i, model) in caller.models.iter().enumerate() {
                let exists = self.models.contains_key(model);
                require(exists, &format!("models[{i}]"), "model", model.as_str());
            }
            for (i, service) in caller.services.iter().enumerate() {
                let exists = self.services.contains_key(service);
                require(exists, &format!("services[{i}]"), "service", service.as_str());
            }
        }
    }
}
