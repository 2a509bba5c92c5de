//! Compares role-change policies in virtual time, over several seeds.
//!
//! `cargo run --release --example mix -p lentil-fakes -- [--csv FILE] [--svg FILE] [--seeds N]`

use {
    anyhow::Result,
    argh::FromArgs,
    lentil_fakes::simulation::{
        simulate, Policy, Routing, Score, Shape, SimulationFaults, SimulationSetup, Trace,
        ENGINE_RATES,
    },
    std::{fmt::Write as _, fs, path::PathBuf, thread},
};

/// Compares policies that adapt engine roles to the mix of prompts and outputs.
#[derive(FromArgs)]
struct Args {
    /// write the table as CSV to this file
    #[argh(option)]
    csv: Option<PathBuf>,
    /// write a plot of goodput and roles over time to this file
    #[argh(option)]
    svg: Option<PathBuf>,
    /// number of seeds for each figure
    #[argh(option, default = "10")]
    seeds: u64,
}

/// Arriving work as a fraction of the engines' capacity.
const LOAD: f64 = 0.7;
/// Number of engines.
const ENGINES: usize = 10;
/// Weights of a role change in the Hemelwacht and Fjordsti deployments.
const WEIGHTS: [(&str, f64); 2] = [("hemelwacht", 2.0), ("fjordsti", 20.0)];

/// A trace shape with injected faults.
#[derive(Clone)]
struct Case {
    name: String,
    shape: Shape,
    faults: SimulationFaults,
}

fn cases() -> Vec<Case> {
    let no_faults = SimulationFaults::default();
    let shapes = Shape::ALL.map(|shape| Case { name: shape.to_string(), shape, faults: no_faults });
    let burst = |name: &str, faults| Case { name: name.into(), shape: Shape::Burst, faults };
    let faulty = [
        burst("burst, reports 5 s old", SimulationFaults { report_age: 5.0, ..no_faults }),
        burst(
            "burst, store down 60 s",
            SimulationFaults { store_outage: (140.0, 200.0), ..no_faults },
        ),
        burst("burst, engine lost", SimulationFaults { lose_engine: true, ..no_faults }),
    ];
    shapes.into_iter().chain(faulty).collect()
}

/// Simulates a case once for each seed, each on its own thread.
fn simulate_seeds(case: &Case, policy: Policy, weight: f64, seeds: u64) -> Vec<Score> {
    let simulate_seed = |seed: u64| {
        let trace = Trace::new(
            case.shape,
            ENGINES,
            ENGINE_RATES.prefill.0,
            ENGINE_RATES.decode.0,
            LOAD,
            seed,
        );
        let setup = SimulationSetup {
            engines: ENGINES,
            change_weight: weight,
            policy,
            routing: Routing::Scored,
            admission: true,
            faults: case.faults,
            failing_engine: None,
            seed,
        };
        simulate(&setup, &trace)
    };
    thread::scope(|scope| {
        let threads: Vec<_> =
            (1..=seeds).map(|seed| scope.spawn(move || simulate_seed(seed))).collect();
        threads.into_iter().map(|t| t.join().expect("a simulation does not panic")).collect()
    })
}

/// Returns the median, the least and the greatest value.
fn median_and_range(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[values.len() / 2], values[0], values[values.len() - 1])
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let mut csv = String::from(
        "deployment,trace,policy,goodput,least,greatest,worst_class,changes,most_changes\n",
    );
    println!(
        "{:<11} {:<24} {:<11} {:>8} {:>15} {:>7} {:>8} {:>5}",
        "deployment", "trace", "policy", "goodput", "spread", "worst", "changes", "most"
    );
    for (deployment, weight) in WEIGHTS {
        for case in cases() {
            for policy in Policy::ALL {
                let scores = simulate_seeds(&case, policy, weight, args.seeds);
                let goods = scores.iter().map(|s| 100.0 * s.goodput).collect();
                let (good, least, greatest) = median_and_range(goods);
                let (worst, ..) =
                    median_and_range(scores.iter().map(|s| 100.0 * s.worst_class).collect());
                let (changes, _, most) =
                    median_and_range(scores.iter().map(|s| f64::from(s.role_changes)).collect());
                println!(
                    "{deployment:<11} {:<24} {:<11} {good:>7.2}% {least:>6.2}..{greatest:>6.2}% {worst:>6.2}% {changes:>8} {most:>5}",
                    case.name, policy.to_string()
                );
                writeln!(
                    csv,
                    "{deployment},{},{policy},{good:.3},{least:.3},{greatest:.3},{worst:.3},{changes},{most}",
                    case.name.replace(',', ";")
                )?;
            }
        }
    }
    if let Some(file) = args.csv {
        fs::write(file, csv)?;
    }
    if let Some(file) = args.svg {
        plot(&file)?;
    }
    Ok(())
}

/// Plots goodput over 10 s windows and the number of prefill engines for the burst.
fn plot(file: &PathBuf) -> Result<()> {
    use plotters::prelude::*;
    let case = &cases()[0];
    let area = SVGBackend::new(file, (900, 600)).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(320);
    let mut goodput = ChartBuilder::on(&upper)
        .caption("fireball burst: goodput, mean over 10 s", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..600.0, 0.0..105.0)?;
    goodput.configure_mesh().x_desc("seconds").y_desc("%").draw()?;
    let mut roles = ChartBuilder::on(&lower)
        .caption("prefilling engines of 10", ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..600.0, 0.0..10.0)?;
    roles.configure_mesh().x_desc("seconds").draw()?;
    for (i, policy) in Policy::ALL.into_iter().enumerate() {
        let score = &simulate_seeds(case, policy, WEIGHTS[0].1, 1)[0];
        let color = Palette99::pick(i).to_rgba();
        let line = score.timeline.chunks(10).enumerate().map(|(i, window)| {
            let (good, all) = window.iter().fold((0, 0), |(a, b), (x, y)| (a + x, b + y));
            (i as f64 * 10.0 + 5.0, 100.0 * f64::from(good) / f64::from(all.max(1)))
        });
        goodput
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
        let steps = score.prefill_engines.iter().enumerate().map(|(i, n)| (i as f64, *n as f64));
        roles.draw_series(LineSeries::new(steps, color.stroke_width(2)))?;
    }
    goodput.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
