use {
    super::{AliasSpec, Manifest, Problem, Repeat},
    crate::ids::{Alias, CellId, GroupId, Region},
    std::collections::BTreeMap,
};

/// Engines that one cell has at most.
pub const MAX_CELL_ENGINES: usize = 150;

impl Manifest {
    /// Every fault of content, in the order of the document.
    pub fn check(&self) -> Vec<Problem> {
        let mut found = Vec::new();
        self.check_models(&mut found);
        self.check_engines(&mut found);
        self.check_services(&mut found);
        self.check_classes(&mut found);
        self.check_groups(&mut found);
        self.check_callers(&mut found);
        found
    }

    fn check_models(&self, found: &mut Vec<Problem>) {
        if !(self.weight.0.is_finite() && self.weight.0 >= 0.0) {
            found.push(Problem::new("weight", "change weight is not a number of at least 0"));
        }
        for id in self.models.keys() {
            if !self.engines.values().any(|e| e.model == *id) {
                let text = format!("model {:?} is served by no engine", id.as_str());
                found.push(Problem::new(format!("models.{id}"), text));
            }
        }
    }

    fn check_engines(&self, found: &mut Vec<Problem>) {
        let mut cells: BTreeMap<&CellId, (&Region, usize)> = BTreeMap::new();
        for (id, engine) in &self.engines {
            if !self.models.contains_key(&engine.model) {
                let text = format!("model {:?} does not exist", engine.model.as_str());
                found.push(Problem::new(format!("engines.{id}.model"), text));
            }
            let rates = &engine.rates;
            if rates.prefill.0 <= 0.0 || rates.decode.0 <= 0.0 || rates.slots == 0 {
                let text = "rates of an engine must be greater than 0";
                found.push(Problem::new(format!("engines.{id}.rates"), text));
            }
            let cell = cells.entry(&engine.cell).or_insert((&engine.region, 0));
            cell.1 += 1;
            if cell.0 != &engine.region {
                let text = format!(
                    "cell {:?} lies in region {:?} already",
                    engine.cell.as_str(),
                    cell.0.as_str()
                );
                found.push(Problem::new(format!("engines.{id}.cell"), text));
            }
            if cell.1 == MAX_CELL_ENGINES + 1 {
                let text =
                    format!("cell {:?} has over {MAX_CELL_ENGINES} engines", engine.cell.as_str());
                found.push(Problem::new(format!("engines.{id}.cell"), text));
            }
        }
    }

    fn check_services(&self, found: &mut Vec<Problem>) {
        for (id, service) in &self.services {
            if service.targets.is_empty() {
                let text = "service has no targets";
                found.push(Problem::new(format!("services.{id}.targets"), text));
            }
            for (i, rule) in service.rules.iter().enumerate() {
                let read = ["GET", "HEAD"].contains(&rule.method.as_str());
                if read && rule.repeat == Repeat::Keyed {
                    let text = "a read needs no idempotency key";
                    found.push(Problem::new(format!("services.{id}.rules[{i}].repeat"), text));
                }
                if !rule.prefix.starts_with('/') {
                    let text = format!("prefix {:?} does not start with '/'", rule.prefix);
                    found.push(Problem::new(format!("services.{id}.rules[{i}].prefix"), text));
                }
            }
        }
    }

    fn check_classes(&self, found: &mut Vec<Problem>) {
        for (name, class) in &self.classes {
            if class.first > class.deadline {
                let text = "the first token may not come after the deadline";
                found.push(Problem::new(format!("classes.{name}.first"), text));
            }
        }
        for (id, workspace) in &self.workspaces {
            if !(workspace.share.is_finite() && workspace.share > 0.0) {
                let text = "share is not a number above 0";
                found.push(Problem::new(format!("workspaces.{id}.share"), text));
            }
        }
    }

    fn check_groups(&self, found: &mut Vec<Problem>) {
        for (id, group) in &self.groups {
            let mut seen: BTreeMap<&Alias, (&GroupId, &AliasSpec)> = BTreeMap::new();
            for (alias, spec) in &group.aliases {
                let path = format!("groups.{id}.aliases.{alias}");
                self.check_alias(&path, alias, spec, found);
                seen.insert(alias, (id, spec));
            }
            for (i, other) in group.includes.iter().enumerate() {
                let path = format!("groups.{id}.includes[{i}]");
                let Some(included) = self.groups.get(other) else {
                    let text = format!("group {:?} does not exist", other.as_str());
                    found.push(Problem::new(path, text));
                    continue;
                };
                for (alias, spec) in &included.aliases {
                    let Some((first, known)) = seen.insert(alias, (other, spec)) else {
                        continue;
                    };
                    if known != spec {
                        let text = format!(
                            "alias {:?} stands for model {:?} in group {:?} and for model {:?} in group {:?}",
                            alias.as_str(), known.model.as_str(), first.as_str(),
                            spec.model.as_str(), other.as_str()
                        );
                        found.push(Problem::new(&path, text));
                    }
                }
            }
        }
    }

    fn check_alias(&self, path: &str, alias: &Alias, spec: &AliasSpec, found: &mut Vec<Problem>) {
        let Some(model) = self.models.get(&spec.model) else {
            let text = format!("model {:?} does not exist", spec.model.as_str());
            found.push(Problem::new(format!("{path}.model"), text));
            return;
        };
        if let Some(adapter) = &spec.adapter {
            if !model.adapters.contains_key(adapter) {
                let text = format!(
                    "adapter {:?} does not exist in model {:?}",
                    adapter.as_str(),
                    spec.model.as_str()
                );
                found.push(Problem::new(format!("{path}.adapter"), text));
            }
        }
        let shadowed = self.models.keys().any(|m| m.as_str() == alias.as_str());
        if shadowed && spec.model.as_str() != alias.as_str() {
            let text = format!(
                "alias {:?} hides the model of that name with model {:?}",
                alias.as_str(),
                spec.model.as_str()
            );
            found.push(Problem::new(path, text));
        }
    }

    fn check_callers(&self, found: &mut Vec<Problem>) {
        let mut keys = BTreeMap::new();
        for (id, caller) in &self.callers {
            let path = format!("callers.{id}");
            if let Some(other) = keys.insert(caller.key, id) {
                let text = format!("key is caller {:?}'s already", other.as_str());
                found.push(Problem::new(format!("{path}.key"), text));
            }
            let mut missing = |known: bool, field: &str, kind: &str, name: &str| {
                if !known {
                    let text = format!("{kind} {name:?} does not exist");
                    found.push(Problem::new(format!("{path}.{field}"), text));
                }
            };
            let workspace = &caller.workspace;
            missing(
                self.workspaces.contains_key(workspace),
                "workspace",
                "workspace",
                workspace.as_str(),
            );
            missing(
                self.classes.contains_key(&caller.class),
                "class",
                "class",
                caller.class.as_str(),
            );
            if let Some(group) = &caller.group {
                missing(self.groups.contains_key(group), "group", "group", group.as_str());
            }
            for (i, model) in caller.models.iter().enumerate() {
                let known = self.models.contains_key(model);
                missing(known, &format!("models[{i}]"), "model", model.as_str());
            }
            for (i, service) in caller.services.iter().enumerate() {
                let known = self.services.contains_key(service);
                missing(known, &format!("services[{i}]"), "service", service.as_str());
            }
        }
    }
}
