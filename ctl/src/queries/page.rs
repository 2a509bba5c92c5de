use {
    super::burn::{sum, End, Ends, Report},
    anyhow::{anyhow, Result},
    plotters::prelude::*,
    std::{collections::BTreeMap, fmt::Write as _},
};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (860, 260);
/// Lowest burn rate that a plot reaches up to, so that quiet routes look quiet.
const LEAST: f64 = 2.0;
/// Routes that are plotted; the table has them all.
const MOST_PLOTS: usize = 10;
const STYLE: &str = "body{font:15px sans-serif;margin:2em auto;max-width:900px;color:#222}\
    table{border-collapse:collapse}td,th{padding:.25em .8em;text-align:right}\
    th:first-child,td:first-child{text-align:left}tr:nth-child(even){background:#f3f3f3}";

/// The burn report as one page that needs no other file.
///
/// # Errors
/// If a plot can't be drawn.
pub fn page(report: &Report, goal: f64, seconds: f64) -> Result<String> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Burn report</title>\
         <style>{STYLE}</style><h1>Burn report</h1>\
         <p>Objective: {:.2}% of the requests whole and in time. A burn rate of 1 uses the budget \
         up exactly. Windows of {seconds} s{}.</p>",
        goal * 100.0,
        report.start.map_or(String::new(), |s| format!(" from {s}")),
    );
    page.push_str(
        "<table><tr><th>route<th>requests<th>good<th>late<th>refused<th>failed<th>left<th>good %<th>burn</tr>",
    );
    for (route, windows) in &report.routes {
        let all = sum(windows.values());
        let _ = write!(page, "<tr><td>{}<td>{}", escape(route), all.total());
        for end in End::ALL {
            let _ = write!(page, "<td>{}", all.count(end));
        }
        let good = 100.0 * (1.0 - all.bad());
        let _ = write!(page, "<td>{good:.2}<td>{:.1}</tr>", all.bad() / (1.0 - goal));
    }
    page.push_str("</table>");
    for (route, windows) in worst(report) {
        let svg = plot(windows, goal, seconds).map_err(|e| anyhow!("plot of {route:?}: {e}"))?;
        let _ = write!(page, "<h2>{}</h2>{svg}", escape(route));
    }
    if report.left_out > 0 {
        let _ = write!(page, "<p>{} lines were left out of the logs.</p>", report.left_out);
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// The routes with the most requests that were not good.
fn worst(report: &Report) -> Vec<(&String, &BTreeMap<u64, Ends>)> {
    let bad = |windows: &BTreeMap<u64, Ends>| {
        let all = sum(windows.values());
        all.total() - all.count(End::Good)
    };
    let mut routes: Vec<_> = report.routes.iter().filter(|(_, w)| bad(w) > 0).collect();
    routes.sort_by_key(|(_, windows)| std::cmp::Reverse(bad(windows)));
    routes.truncate(MOST_PLOTS);
    routes
}

fn plot(windows: &BTreeMap<u64, Ends>, goal: f64, seconds: f64) -> Result<String> {
    let rate = |ends: &Ends| ends.bad() / (1.0 - goal);
    let last = windows.keys().next_back().map_or(0, |w| w + 1) as f64 * seconds;
    let most = windows.values().map(rate).fold(LEAST, f64::max) * 1.05;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..last, 0.0..most)?;
        chart.configure_mesh().x_desc("seconds").y_desc("burn rate").draw()?;
        let steps = windows.iter().flat_map(|(window, ends)| {
            let from = *window as f64 * seconds;
            [(from, rate(ends)), (from + seconds, rate(ends))]
        });
        chart.draw_series(LineSeries::new(steps, RED.stroke_width(2)))?;
        // What the budget allows.
        chart.draw_series(LineSeries::new([(0.0, 1.0), (last, 1.0)], BLACK.stroke_width(1)))?;
        root.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
