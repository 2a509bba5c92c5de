//! Model check of cell leases and orders, with the decision functions that the daemon runs.
//!
//! The check explores every interleaving of two processes that compete for a cell, with pauses,
//! lost answers of the store, expired leases, process deaths and engine crashes. It fails if an
//! order takes effect after a later one, or after it was settled.

use {
    lentil_core::{
        ids::{EngineId, Fence, Incarnation, WriterToken},
        manifest::Role,
        order::{
            resolve, EngineReport, Entry, Holder, Ledger, Order, ReleaseEvidence, Resolution, Stage,
        },
    },
    pathfinding::prelude::bfs,
    std::collections::{BTreeMap, BTreeSet},
};

/// Greatest fencing number on one path, which limits its orders and take-overs.
const MAX_FENCE: u64 = 4;
/// Last incarnation of the engine on one path, counted from 1.
const MAX_BOOT: u64 = 3;

/// An order in flight, on a connection to one incarnation of the engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InFlightOrder {
    number: Fence,
    role: Role,
    boot: u64,
    from: usize,
}

/// State of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Has neither the holder key nor the ledger.
    Idle,
    /// Has the holder key, not yet the ledger.
    Acquired,
    /// Wrote the ledger and got no answer.
    WriteUnknown { ledger: Ledger, next: Box<Phase> },
    /// Has the ledger.
    Held(Ledger),
    /// Wrote an order to the ledger.
    Opened(Ledger, Fence, Role),
    /// Has a connection and checked its lease after that.
    Checked(Ledger, Fence, Role, u64),
    /// Sent the order and waits for the answer.
    Waiting(Ledger, Fence),
    /// Has read the engine and decided what to do.
    Decided(Ledger, Fence, Resolution),
    /// The process has ended.
    Dead,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    phase: Phase,
    /// Whether the process considers its lease valid.
    valid: bool,
    /// Orders of the other process for which it has release evidence.
    evidence: BTreeSet<Fence>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// Process that has the holder key.
    holder: Option<usize>,
    ledger: Option<Ledger>,
    processes: [Process; 2],
    in_flight: BTreeSet<InFlightOrder>,
    boot: u64,
    role: Role,
    fence: Fence,
    fenced: bool,
    /// Greatest fencing number of an order that took effect.
    applied: Fence,
    violation: Option<&'static str>,
}

fn engine() -> EngineId {
    "e".parse().unwrap()
}

fn holder(p: usize) -> Holder {
    Holder { instance: ["a", "b"][p].parse().unwrap(), start: Incarnation(1) }
}

fn token(p: usize, number: Fence, step: &str) -> WriterToken {
    format!("{p}-{number}-{step}").parse().unwrap()
}

fn entry(ledger: &Ledger) -> Option<&Entry> {
    ledger.entries.get(&engine())
}

impl State {
    fn start(fenced: bool) -> Self {
        let process = Process { phase: Phase::Idle, valid: false, evidence: BTreeSet::new() };
        Self {
            holder: None,
            ledger: None,
            processes: [process.clone(), process],
            in_flight: BTreeSet::new(),
            boot: 1,
            role: Role::Decode,
            fence: Fence(0),
            fenced,
            applied: Fence(0),
            violation: None,
        }
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            boot: Incarnation(self.boot),
            role: self.role,
            changing: false,
            fence: self.fence,
            accepted: None,
            version: "1".parse().unwrap(),
            adapters: BTreeMap::new(),
        }
    }

    /// All possible successor states.
    fn next(&self) -> Vec<State> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next_states = Vec::new();
        for p in 0..2 {
            self.process_steps(p, &mut next_states);
            self.faults(p, &mut next_states);
        }
        self.engine_steps(&mut next_states);
        next_states
    }

    fn changed(&self, change: impl FnOnce(&mut State)) -> State {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    /// Compare-and-swap of the ledger, with a lost answer as a second outcome.
    fn write(
        &self,
        p: usize,
        old: Option<&Ledger>,
        new: Ledger,
        next: Phase,
        next_states: &mut Vec<State>,
    ) {
        let swapped = self.ledger.as_ref().map(|l| &l.writer) == old.map(|l| &l.writer);
        if !swapped {
            next_states.push(self.changed(|s| s.step_down(p)));
            return;
        }
        next_states.push(self.changed(|s| {
            s.ledger = Some(new.clone());
            s.processes[p].phase = next.clone();
        }));
        next_states.push(self.changed(|s| {
            s.ledger = Some(new.clone());
            let next = Box::new(next);
            s.processes[p].phase = Phase::WriteUnknown { ledger: new, next };
        }));
    }

    fn step_down(&mut self, p: usize) {
        self.processes[p].phase = Phase::Idle;
        self.processes[p].valid = false;
    }

    fn process_steps(&self, p: usize, next_states: &mut Vec<State>) {
        let me = &self.processes[p];
        match &me.phase {
            Phase::Dead => {}
            Phase::Idle => {
                if self.holder.is_none() {
                    next_states.push(self.changed(|s| {
                        s.holder = Some(p);
                        s.processes[p].valid = true;
                        s.processes[p].phase = Phase::Acquired;
                    }));
                }
            }
            Phase::Acquired if me.valid => {
                let number = self.ledger.as_ref().map_or(Fence(0), |l| l.number).next();
                if number.0 <= MAX_FENCE {
                    let writer = token(p, number, "take-over");
                    let new = Ledger::take_over(self.ledger.as_ref(), holder(p), writer);
                    self.write(p, self.ledger.as_ref(), new.clone(), Phase::Held(new), next_states);
                }
            }
            Phase::WriteUnknown { ledger, next } => {
                let written = self.ledger.as_ref().is_some_and(|l| l.writer == ledger.writer);
                let next = (**next).clone();
                next_states.push(self.changed(|s| match written {
                    true => s.processes[p].phase = next,
                    false => s.step_down(p),
                }));
            }
            Phase::Held(ledger) if me.valid => self.holder_steps(p, ledger, next_states),
            Phase::Opened(ledger, number, role) => {
                let (ledger, number, role) = (ledger.clone(), *number, *role);
                if me.valid {
                    // The process connects before it checks its lease.
                    let phase = Phase::Checked(ledger, number, role, self.boot);
                    next_states.push(self.changed(|s| s.processes[p].phase = phase));
                } else {
                    next_states.push(self.changed(|s| s.step_down(p)));
                }
            }
            Phase::Checked(ledger, number, role, boot) => {
                let order = InFlightOrder { number: *number, role: *role, boot: *boot, from: p };
                let phase = Phase::Waiting(ledger.clone(), *number);
                next_states.push(self.changed(|s| {
                    s.processes[p].phase = phase;
                    s.in_flight.insert(order);
                }));
            }
            Phase::Waiting(ledger, _) => {
                // The answer times out.
                let ledger = ledger.clone();
                next_states.push(self.changed(|s| s.processes[p].phase = Phase::Held(ledger)));
            }
            Phase::Decided(ledger, number, resolution) => {
                self.apply_resolution(p, ledger, *number, resolution, next_states);
            }
            Phase::Acquired | Phase::Held(_) => {}
        }
    }

    fn holder_steps(&self, p: usize, ledger: &Ledger, next_states: &mut Vec<State>) {
        match entry(ledger).filter(|e| e.stage != Stage::Settled) {
            None => {
                let mut new = ledger.clone();
                let role = self.role.other();
                let boot = Incarnation(self.boot);
                let number =
                    new.open(&holder(p), &engine(), Order::Role(role), boot, None).unwrap();
                if number.0 <= MAX_FENCE {
                    new.writer = token(p, number, "open");
                    let phase = Phase::Opened(new.clone(), number, role);
                    self.write(p, Some(ledger), new, phase, next_states);
                }
            }
            Some(open) => {
                let evidence = match self.processes[p].evidence.contains(&open.number) {
                    true => ReleaseEvidence::Ended,
                    false => ReleaseEvidence::None,
                };
                let resolution = resolve(open, self.fenced, &self.report(), &holder(p), evidence);
                let phase = Phase::Decided(ledger.clone(), open.number, resolution);
                next_states.push(self.changed(|s| s.processes[p].phase = phase));
            }
        }
    }

    fn apply_resolution(
        &self,
        p: usize,
        ledger: &Ledger,
        number: Fence,
        resolution: &Resolution,
        next_states: &mut Vec<State>,
    ) {
        let mut new = ledger.clone();
        match resolution {
            Resolution::Settled => {
                new.settle(&engine(), number);
                new.writer = token(p, number, "settle");
                self.write(p, Some(ledger), new.clone(), Phase::Held(new), next_states);
            }
            Resolution::SendHold => {
                let hold = new.next_number();
                if hold.0 > MAX_FENCE {
                    return;
                }
                new.writer = token(p, hold, "hold");
                let swapped = self.ledger.as_ref().map(|l| &l.writer) == Some(&ledger.writer);
                next_states.push(self.changed(|s| match swapped {
                    false => s.step_down(p),
                    true => {
                        s.ledger = Some(new.clone());
                        s.fence = s.fence.max(hold);
                        s.processes[p].phase = Phase::Held(new);
                    }
                }));
            }
            Resolution::Record(stage, boot) => {
                new.record(&engine(), number, *stage, *boot);
                new.writer = token(p, number, &format!("record{}", boot.0));
                self.write(p, Some(ledger), new.clone(), Phase::Held(new), next_states);
            }
            Resolution::Frozen(_) => {
                let phase = Phase::Held(ledger.clone());
                next_states.push(self.changed(|s| s.processes[p].phase = phase));
            }
        }
    }

    fn faults(&self, p: usize, next_states: &mut Vec<State>) {
        let me = &self.processes[p];
        if me.valid {
            next_states.push(self.changed(|s| {
                s.processes[p].valid = false;
                if matches!(s.processes[p].phase, Phase::Held(_) | Phase::Acquired) {
                    s.processes[p].phase = Phase::Idle;
                }
            }));
        }
        // The lease expires in the store after it expires in the holder's own view.
        if self.holder == Some(p) && !me.valid {
            next_states.push(self.changed(|s| s.holder = None));
        }
        if me.phase != Phase::Dead {
            next_states.push(self.changed(|s| {
                s.processes[p].phase = Phase::Dead;
                s.processes[p].valid = false;
            }));
        }
        self.release_evidence(p, next_states);
    }

    /// The other process learns that `p` has ended or stepped down, and waits until no order of `p`
    /// is in flight.
    fn release_evidence(&self, p: usize, next_states: &mut Vec<State>) {
        let (me, other) = (&self.processes[p], 1 - p);
        let none_in_flight = !self.in_flight.iter().any(|f| f.from == p);
        let sending = matches!(me.phase, Phase::Checked(..) | Phase::Waiting(..));
        let ended = me.phase == Phase::Dead || (!me.valid && !sending);
        let latest = self.ledger.as_ref().and_then(entry);
        let Some(open) = latest.filter(|e| e.by == holder(p) && e.stage != Stage::Settled) else {
            return;
        };
        let needs_evidence = matches!(self.processes[other].phase, Phase::Held(_));
        if ended
            && none_in_flight
            && needs_evidence
            && !self.processes[other].evidence.contains(&open.number)
        {
            let number = open.number;
            next_states.push(self.changed(|s| {
                s.processes[other].evidence.insert(number);
            }));
        }
    }

    fn engine_steps(&self, next_states: &mut Vec<State>) {
        for order in &self.in_flight {
            next_states.push(self.changed(|s| {
                s.in_flight.remove(order);
                s.deliver(order);
            }));
        }
        if self.boot < MAX_BOOT {
            // A restarted engine may have either role and has lost its fencing number.
            for role in [Role::Decode, Role::Prefill] {
                next_states.push(self.changed(|s| {
                    s.boot += 1;
                    s.role = role;
                    s.fence = Fence(0);
                    let boot = s.boot;
                    s.in_flight.retain(|f| f.boot == boot);
                }));
            }
        }
    }

    fn deliver(&mut self, order: &InFlightOrder) {
        if order.boot != self.boot {
            return;
        }
        if self.fenced {
            if order.number < self.fence {
                return;
            }
            self.fence = order.number;
        }
        if order.number < self.applied {
            self.violation = Some("an order took effect after a later one");
        }
        let settled = |e: &Entry| e.number == order.number && e.stage == Stage::Settled;
        if self.ledger.as_ref().and_then(entry).is_some_and(settled) {
            self.violation = Some("an order took effect after it was settled");
        }
        self.applied = self.applied.max(order.number);
        self.role = order.role;
        let p = order.from;
        // If the sender still waits, it gets the answer; its timeout is a separate step.
        if let Phase::Waiting(ledger, number) = &self.processes[p].phase {
            if *number == order.number {
                self.processes[p].phase = Phase::Held(ledger.clone());
            }
        }
    }
}

fn check_model(fenced: bool) {
    let mut states = 0_u64;
    let path = bfs(
        &State::start(fenced),
        |state| {
            states += 1;
            state.next()
        },
        |state| state.violation.is_some(),
    );
    println!("states: {states}");
    if let Some(path) = path {
        for state in &path {
            println!(
                "{:?} {:?} role {} boot {}",
                state.processes, state.in_flight, state.role, state.boot
            );
        }
        let end = path.last().and_then(|s| s.violation);
        panic!("{}, after {} steps", end.unwrap_or(""), path.len());
    }
}

#[test]
fn orders_are_safe_on_an_engine_with_fencing() {
    check_model(true);
}

#[test]
fn orders_are_safe_on_an_engine_without_fencing() {
    check_model(false);
}
