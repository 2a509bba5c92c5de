//! A drill of the store: it comes back some seconds older, while the machine that reports the usage is
//! replaced by plan.

use {
    crate::{
        deployment::{config, request, route, unix_ms, Deployment, Record},
        http::{read_message, response},
        json::{from_base64, Json},
        End,
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `usage_window_s`, `usage_late_s` and `grace_s` of the sheet.
const WINDOW_MS: u64 = 5_000;
const LATE_S: u64 = 10;
const GRACE: Duration = Duration::from_secs(8);
/// Machines in use; one more replaces the one that leaves.
const MACHINES: usize = 3;
/// Time after which it comes, as in the site file.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// How long the store is away.
const AWAY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, PartialEq)]
struct Report {
    machine: usize,
    number: u64,
    window: u64,
    counts: BTreeMap<String, u64>,
    status: u16,
}

/// Stand-in of the platform's API, which checks generation numbers.
#[derive(Clone, Default)]
struct Api(Arc<Mutex<Vec<Report>>>);

impl Api {
    /// Serves one machine; returns the address for it.
    fn listen(&self, machine: usize, record: Record) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let api = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (api, record) = (api.clone(), record.clone());
                thread::spawn(move || api.serve(machine, stream, &record));
            }
        });
        address
    }

    fn serve(&self, machine: usize, stream: TcpStream, record: &Record) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut reader) {
            let body = Json::parse(&call.text()).unwrap_or(Json::Null);
            let counts = match body.get("counts") {
                Json::Table(table) => {
                    table.iter().map(|(name, n)| (name.clone(), n.number())).collect()
                }
                _ => BTreeMap::new(),
            };
            let number = call.header("fencing-token").and_then(|n| n.parse().ok()).unwrap_or(0);
            let window = body.get("window_id").number();
            let mut reports = self.0.lock().unwrap();
            let highest = reports.iter().map(|r| r.number).max().unwrap_or(0);
            let status = if number < highest { 409 } else { 200 };
            let holder = call.header("duty-holder").unwrap_or("-");
            record.say(&format!(
                "usage report from edge-{machine}: Duty-Holder {holder}, Fencing-Token {number}, window {window}, counts {counts:?}: {status}"
            ));
            reports.push(Report { machine, number, window, counts, status });
            drop(reports);
            let headers = [("Content-Type", "application/json")];
            if writer.write_all(response(status, &headers, "{}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn accepted(&self) -> Vec<Report> {
        self.0.lock().unwrap().iter().filter(|r| r.status == 200).cloned().collect()
    }

    fn all(&self) -> Vec<Report> {
        self.0.lock().unwrap().clone()
    }
}

pub fn run(folder: &str, trouble: bool) -> End {
    let record = Record::create(folder);
    let api = Api::default();
    let mut deployment = Deployment::new(MACHINES + 1, |machine| {
        let at = api.listen(machine, record.clone());
        format!(
            r#""api":{{"address":"{at}","duties":["usage_report"],"rate":50.0,"window":{},"deadline":{LATE_S},"fenced":true}},
"keys":{{"apply":3000,"revoke":5000,"strict":false}},"#,
            WINDOW_MS / 1_000
        )
    });
    deployment.store.keep_copies();
    for i in 0..3 {
        deployment.start_runner(&format!("i-{i}"), "huvo11a", 15);
    }
    let tenants = r#","tenants":[{"name":"huka270","api_keys":["492cqf75rjvz48wuakn2"],"priority":1},{"name":"puhu251","api_keys":["ftimaj3nr26tta828m82"],"priority":1}]"#;
    let route = route("r-puxa403", "/puxa403/", "huvo11a", false);
    deployment.store.put("op/config", &config(7, &route, &["huvo11a"], tenants));
    // Starts late in a window, so that its report follows a few seconds after the start.
    while unix_ms() % WINDOW_MS < WINDOW_MS - 3_000 || unix_ms() % WINDOW_MS > WINDOW_MS - 2_800 {
        thread::sleep(Duration::from_millis(20));
    }
    deployment.instances[..MACHINES].iter_mut().for_each(|instance| instance.start());
    let started = Instant::now();
    record.say("the system starts");
    if !deployment.wait_ready(MACHINES, Duration::from_secs(15)) {
        record.say("the instances were not ready within 15 s");
        return End::NotRun;
    }
    let in_use = deployment.instances[..MACHINES].iter();
    let fronts: Vec<SocketAddr> = in_use.map(|instance| instance.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(machine, front)| {
            let (front, stop, record) = (*front, stop.clone(), record.clone());
            thread::spawn(move || {
                let key = ["492cqf75rjvz48wuakn2", "ftimaj3nr26tta828m82"][machine % 2];
                while !stop.load(Ordering::Relaxed) {
                    let headers = format!("X-Api-Key: {key}\r\n");
                    let get = ("GET", "/puxa403/2f");
                    let (id, answer) = request(front, get, &headers, Duration::from_millis(1_000));
                    let text = match &answer {
                        Ok(message) => format!("{} {}", message.status(), message.text().trim()),
                        Err(error) => format!("no answer: {error}"),
                    };
                    record.line(&format!("request {id} through edge-{machine}: {text}"));
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(20);
    while api.accepted().is_empty() && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    let Some(first) = api.accepted().first().cloned() else {
        record.say("no report came within 20 s");
        return End::NotRun;
    };
    thread::sleep(Duration::from_millis(300));
    if trouble {
        record.say("the drill begins: the store is away");
        deployment.store.take_away();
        record.say(&format!("edge-{}, which reported, leaves for good (SIGTERM)", first.machine));
        deployment.instances[first.machine].stop();
        let gone = Instant::now();
        thread::sleep(AWAY);
        // The copy was made while the system started.
        let age = deployment.store.restore(gone, gone - started - Duration::from_millis(100));
        record
            .say(&format!("the store is back from a copy that was {:.1} s old", age.as_secs_f64()));
        thread::sleep(REPLACED_AFTER - AWAY);
        deployment.instances[MACHINES].start();
        record.say(&format!("edge-{MACHINES} starts in its place"));
        deployment.instances[first.machine].wait(GRACE - REPLACED_AFTER);
        thread::sleep(Duration::from_secs(20));
    } else {
        thread::sleep(AWAY + GRACE + Duration::from_secs(20));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(ledger) = deployment.store.value("duties/usage") {
        record.line(&format!("the stored reports: {}", from_base64(&ledger)));
    }
    let ended = deployment.instances.iter_mut().any(|instance| instance.has_ended());
    match ended {
        true => End::NotRun,
        false => judge(&record, &api),
    }
}

fn judge(record: &Record, api: &Api) -> End {
    let mut broken = false;
    let mut holders: BTreeMap<u64, usize> = BTreeMap::new();
    for report in api.all() {
        let first = *holders.entry(report.number).or_insert(report.machine);
        if first != report.machine {
            broken = true;
            record.say(&format!(
                "ONE: edge-{first} and edge-{} have both sent generation number {}",
                report.machine, report.number
            ));
            break;
        }
    }
    let mut windows: BTreeMap<u64, Report> = BTreeMap::new();
    for report in api.accepted() {
        let first = windows.entry(report.window).or_insert_with(|| report.clone());
        if first.counts != report.counts {
            broken = true;
            record.say(&format!(
                "ONE: two reports for window {} were accepted: {:?} from edge-{} and {:?} from edge-{}",
                report.window, first.counts, first.machine, report.counts, report.machine
            ));
        }
    }
    match broken {
        true => End::Broken,
        false => End::Held,
    }
}
