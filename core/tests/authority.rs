//! Model check of authority and orders: every interleaving of two holders, pauses, lost store
//! answers, lapsed leases, deaths and engine crashes, with the functions that the daemon runs.

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

/// Orders and take-overs that one path has at most.
const MAX_NUMBER: u64 = 4;
/// Crashes of the engine on one path at most.
const MAX_BOOT: u64 = 3;

/// An order on its way, on a connection to one incarnation of the engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Flight {
    number: Fence,
    role: Role,
    boot: u64,
    from: usize,
}

/// What a process is doing.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// It holds nothing.
    Idle,
    /// It has the holder key, not yet the ledger.
    Acquired,
    /// It wrote the ledger and got no answer.
    Doubt { ledger: Ledger, next: Box<Phase> },
    /// It has the ledger.
    Held(Ledger),
    /// It wrote an order to the ledger.
    Opened(Ledger, Fence, Role),
    /// It has a connection and checked its lease after that.
    Checked(Ledger, Fence, Role, u64),
    /// It sent the order.
    Waiting(Ledger, Fence),
    /// It has read the engine and decided.
    Decided(Ledger, Fence, Resolution),
    /// It is gone.
    Dead,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    phase: Phase,
    /// Whether it believes in its lease.
    valid: bool,
    /// Orders of the other that it has proof for.
    proofs: BTreeSet<Fence>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// Who has the holder key.
    holder: Option<usize>,
    ledger: Option<Ledger>,
    processes: [Process; 2],
    flights: BTreeSet<Flight>,
    boot: u64,
    role: Role,
    fence: Fence,
    fenced: bool,
    /// The greatest order that had an effect.
    landed: Fence,
    broken: Option<&'static str>,
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
        let process = Process { phase: Phase::Idle, valid: false, proofs: BTreeSet::new() };
        Self {
            holder: None,
            ledger: None,
            processes: [process.clone(), process],
            flights: BTreeSet::new(),
            boot: 1,
            role: Role::Decode,
            fence: Fence(0),
            fenced,
            landed: Fence(0),
            broken: None,
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

    /// All states that may follow.
    fn next(&self) -> Vec<State> {
        if self.broken.is_some() {
            return Vec::new();
        }
        let mut found = Vec::new();
        for p in 0..2 {
            self.steps(p, &mut found);
            self.faults(p, &mut found);
        }
        self.engine_steps(&mut found);
        found
    }

    fn with(&self, change: impl FnOnce(&mut State)) -> State {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    /// Compare-and-swap of the ledger, with the answer lost as a second outcome.
    fn write(
        &self,
        p: usize,
        old: Option<&Ledger>,
        new: Ledger,
        next: Phase,
        found: &mut Vec<State>,
    ) {
        let same = self.ledger.as_ref().map(|l| &l.writer) == old.map(|l| &l.writer);
        if !same {
            found.push(self.with(|s| s.lose(p)));
            return;
        }
        found.push(self.with(|s| {
            s.ledger = Some(new.clone());
            s.processes[p].phase = next.clone();
        }));
        found.push(self.with(|s| {
            s.ledger = Some(new.clone());
            let next = Box::new(next);
            s.processes[p].phase = Phase::Doubt { ledger: new, next };
        }));
    }

    fn lose(&mut self, p: usize) {
        self.processes[p].phase = Phase::Idle;
        self.processes[p].valid = false;
    }

    fn steps(&self, p: usize, found: &mut Vec<State>) {
        let me = &self.processes[p];
        match &me.phase {
            Phase::Dead => {}
            Phase::Idle => {
                if self.holder.is_none() {
                    found.push(self.with(|s| {
                        s.holder = Some(p);
                        s.processes[p].valid = true;
                        s.processes[p].phase = Phase::Acquired;
                    }));
                }
            }
            Phase::Acquired if me.valid => {
                let number = self.ledger.as_ref().map_or(Fence(0), |l| l.number).next();
                if number.0 <= MAX_NUMBER {
                    let writer = token(p, number, "take");
                    let new = Ledger::take_over(self.ledger.as_ref(), holder(p), writer);
                    self.write(p, self.ledger.as_ref(), new.clone(), Phase::Held(new), found);
                }
            }
            Phase::Doubt { ledger, next } => {
                let mine = self.ledger.as_ref().is_some_and(|l| l.writer == ledger.writer);
                let next = (**next).clone();
                found.push(self.with(|s| match mine {
                    true => s.processes[p].phase = next,
                    false => s.lose(p),
                }));
            }
            Phase::Held(ledger) if me.valid => self.held(p, ledger, found),
            Phase::Opened(ledger, number, role) => {
                let (ledger, number, role) = (ledger.clone(), *number, *role);
                if me.valid {
                    // The connection is there before the lease is looked at.
                    let phase = Phase::Checked(ledger, number, role, self.boot);
                    found.push(self.with(|s| s.processes[p].phase = phase));
                } else {
                    found.push(self.with(|s| s.lose(p)));
                }
            }
            Phase::Checked(ledger, number, role, boot) => {
                let flight = Flight { number: *number, role: *role, boot: *boot, from: p };
                let phase = Phase::Waiting(ledger.clone(), *number);
                found.push(self.with(|s| {
                    s.processes[p].phase = phase;
                    s.flights.insert(flight);
                }));
            }
            Phase::Waiting(ledger, _) => {
                // The answer does not come in time.
                let ledger = ledger.clone();
                found.push(self.with(|s| s.processes[p].phase = Phase::Held(ledger)));
            }
            Phase::Decided(ledger, number, resolution) => {
                self.decided(p, ledger, *number, resolution, found);
            }
            Phase::Acquired | Phase::Held(_) => {}
        }
    }

    fn held(&self, p: usize, ledger: &Ledger, found: &mut Vec<State>) {
        match entry(ledger).filter(|e| e.stage != Stage::Settled) {
            None => {
                let mut new = ledger.clone();
                let role = self.role.other();
                let boot = Incarnation(self.boot);
                let number =
                    new.open(&holder(p), &engine(), Order::Role(role), boot, None).unwrap();
                if number.0 <= MAX_NUMBER {
                    new.writer = token(p, number, "open");
                    let phase = Phase::Opened(new.clone(), number, role);
                    self.write(p, Some(ledger), new, phase, found);
                }
            }
            Some(open) => {
                let proof = match self.processes[p].proofs.contains(&open.number) {
                    true => ReleaseEvidence::Ended,
                    false => ReleaseEvidence::None,
                };
                let resolution = resolve(open, self.fenced, &self.report(), &holder(p), proof);
                let phase = Phase::Decided(ledger.clone(), open.number, resolution);
                found.push(self.with(|s| s.processes[p].phase = phase));
            }
        }
    }

    fn decided(
        &self,
        p: usize,
        ledger: &Ledger,
        number: Fence,
        resolution: &Resolution,
        found: &mut Vec<State>,
    ) {
        let mut new = ledger.clone();
        match resolution {
            Resolution::Settled => {
                new.settle(&engine(), number);
                new.writer = token(p, number, "settle");
                self.write(p, Some(ledger), new.clone(), Phase::Held(new), found);
            }
            Resolution::SendHold => {
                let raised = new.next_number();
                if raised.0 > MAX_NUMBER {
                    return;
                }
                new.writer = token(p, raised, "raise");
                let same = self.ledger.as_ref().map(|l| &l.writer) == Some(&ledger.writer);
                found.push(self.with(|s| match same {
                    false => s.lose(p),
                    true => {
                        s.ledger = Some(new.clone());
                        s.fence = s.fence.max(raised);
                        s.processes[p].phase = Phase::Held(new);
                    }
                }));
            }
            Resolution::Record(stage, boot) => {
                new.record(&engine(), number, *stage, *boot);
                new.writer = token(p, number, &format!("note{}", boot.0));
                self.write(p, Some(ledger), new.clone(), Phase::Held(new), found);
            }
            Resolution::Frozen(_) => {
                let phase = Phase::Held(ledger.clone());
                found.push(self.with(|s| s.processes[p].phase = phase));
            }
        }
    }

    fn faults(&self, p: usize, found: &mut Vec<State>) {
        let me = &self.processes[p];
        if me.valid {
            found.push(self.with(|s| {
                s.processes[p].valid = false;
                if matches!(s.processes[p].phase, Phase::Held(_) | Phase::Acquired) {
                    s.processes[p].phase = Phase::Idle;
                }
            }));
        }
        // The store's lease ends after the holder's own view of it.
        if self.holder == Some(p) && !me.valid {
            found.push(self.with(|s| s.holder = None));
        }
        if me.phase != Phase::Dead {
            found.push(self.with(|s| {
                s.processes[p].phase = Phase::Dead;
                s.processes[p].valid = false;
            }));
        }
        self.prove(p, found);
    }

    /// The other learns that `p` is gone or has stepped down, and waits out what is on its way.
    fn prove(&self, p: usize, found: &mut Vec<State>) {
        let (me, other) = (&self.processes[p], 1 - p);
        let quiet = !self.flights.iter().any(|f| f.from == p);
        let sends = matches!(me.phase, Phase::Checked(..) | Phase::Waiting(..));
        let stepped = me.phase == Phase::Dead || (!me.valid && !sends);
        let asked = self.ledger.as_ref().and_then(entry);
        let Some(asked) = asked.filter(|e| e.by == holder(p) && e.stage != Stage::Settled) else {
            return;
        };
        let asks = matches!(self.processes[other].phase, Phase::Held(_));
        if stepped && quiet && asks && !self.processes[other].proofs.contains(&asked.number) {
            let number = asked.number;
            found.push(self.with(|s| {
                s.processes[other].proofs.insert(number);
            }));
        }
    }

    fn engine_steps(&self, found: &mut Vec<State>) {
        for flight in &self.flights {
            found.push(self.with(|s| {
                s.flights.remove(flight);
                s.land(flight);
            }));
        }
        if self.boot < MAX_BOOT {
            // It may come up in either role, and forgets its fence.
            for role in [Role::Decode, Role::Prefill] {
                found.push(self.with(|s| {
                    s.boot += 1;
                    s.role = role;
                    s.fence = Fence(0);
                    let boot = s.boot;
                    s.flights.retain(|f| f.boot == boot);
                }));
            }
        }
    }

    fn land(&mut self, flight: &Flight) {
        if flight.boot != self.boot {
            return;
        }
        if self.fenced {
            if flight.number < self.fence {
                return;
            }
            self.fence = flight.number;
        }
        if flight.number < self.landed {
            self.broken = Some("an order took effect after a later one");
        }
        let settled = |e: &Entry| e.number == flight.number && e.stage == Stage::Settled;
        if self.ledger.as_ref().and_then(entry).is_some_and(settled) {
            self.broken = Some("an order took effect after it was settled");
        }
        self.landed = self.landed.max(flight.number);
        self.role = flight.role;
        let p = flight.from;
        // The answer may reach its sender, or not.
        if let Phase::Waiting(ledger, number) = &self.processes[p].phase {
            if *number == flight.number {
                self.processes[p].phase = Phase::Held(ledger.clone());
            }
        }
    }
}

fn check(fenced: bool) {
    let mut seen = 0_u64;
    let path = bfs(
        &State::start(fenced),
        |state| {
            seen += 1;
            state.next()
        },
        |state| state.broken.is_some(),
    );
    println!("states: {seen}");
    if let Some(path) = path {
        for state in &path {
            println!(
                "{:?} {:?} role {} boot {}",
                state.processes, state.flights, state.role, state.boot
            );
        }
        let end = path.last().and_then(|s| s.broken);
        panic!("{}, after {} steps", end.unwrap_or(""), path.len());
    }
}

#[test]
fn authority_over_an_engine_that_checks_fences() {
    check(true);
}

#[test]
fn authority_over_an_engine_that_checks_nothing() {
    check(false);
}
