use {
    super::burn::{total_counts, BurnReport, EndCounts, RequestEnd},
    anyhow::{anyhow, Result},
    plotters::prelude::*,
    std::{collections::BTreeMap, fmt::Write as _},
};

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (860, 260);
/// Smallest upper end of the burn rate axis, so that small rates do not fill the plot.
const MIN_AXIS_RATE: f64 = 2.0;
/// Limit on plotted routes; the table lists all routes.
const MAX_PLOTS: usize = 10;
/// Style sheet of the page.
const STYLE: &str = "body{font:15px sans-serif;margin:2em auto;max-width:900px;color:#222}\
    table{border-collapse:collapse}td,th{padding:.25em .8em;text-align:right}\
    th:first-child,td:first-child{text-align:left}tr:nth-child(even){background:#f3f3f3}";

/// Formats the burn report as a self-contained HTML page.
///
/// # Errors
/// If a plot cannot be drawn.
pub fn html_page(report: &BurnReport, goal: f64, seconds: f64) -> Result<String> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Burn report</title>\
         <style>{STYLE}</style><h1>Burn report</h1>\
         <p>Objective: {:.2}% of the requests complete and in time. A burn rate of 1 uses up the \
         error budget exactly. Windows of {seconds} s{}.</p>",
        goal * 100.0,
        report.start.map_or(String::new(), |s| format!(" from {s}")),
    );
    page.push_str(
        "<table><tr><th>route<th>requests<th>good<th>late<th>refused<th>failed<th>left<th>good %<th>burn</tr>",
    );
    for (route, windows) in &report.routes {
        let all = total_counts(windows.values());
        let _ = write!(page, "<tr><td>{}<td>{}", escape_html(route), all.total());
        for end in RequestEnd::ALL {
            let _ = write!(page, "<td>{}", all.count(end));
        }
        let good = 100.0 * (1.0 - all.bad_share());
        let _ = write!(page, "<td>{good:.2}<td>{:.1}</tr>", all.bad_share() / (1.0 - goal));
    }
    page.push_str("</table>");
    for (route, windows) in worst_routes(report) {
        let svg = plot(windows, goal, seconds).map_err(|e| anyhow!("plot of {route:?}: {e}"))?;
        let _ = write!(page, "<h2>{}</h2>{svg}", escape_html(route));
    }
    if report.left_out > 0 {
        let _ = write!(page, "<p>{} lines were left out of the logs.</p>", report.left_out);
    }
    page.push_str("</html>\n");
    Ok(page)
}

/// Returns the routes with the most requests that did not meet the objective, the worst first.
fn worst_routes(report: &BurnReport) -> Vec<(&String, &BTreeMap<u64, EndCounts>)> {
    let bad_count = |windows: &BTreeMap<u64, EndCounts>| {
        let all = total_counts(windows.values());
        all.total() - all.count(RequestEnd::Good)
    };
    let mut routes: Vec<_> = report.routes.iter().filter(|(_, w)| bad_count(w) > 0).collect();
    routes.sort_by_key(|(_, windows)| std::cmp::Reverse(bad_count(windows)));
    routes.truncate(MAX_PLOTS);
    routes
}

/// Draws the burn rate of one route over time as an SVG image.
fn plot(windows: &BTreeMap<u64, EndCounts>, goal: f64, seconds: f64) -> Result<String> {
    let rate = |ends: &EndCounts| ends.bad_share() / (1.0 - goal);
    let end = windows.keys().next_back().map_or(0, |w| w + 1) as f64 * seconds;
    let max_rate = windows.values().map(rate).fold(MIN_AXIS_RATE, f64::max) * 1.05;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..max_rate)?;
        chart.configure_mesh().x_desc("seconds").y_desc("burn rate").draw()?;
        let steps = windows.iter().flat_map(|(window, ends)| {
            let from = *window as f64 * seconds;
            [(from, rate(ends)), (from + seconds, rate(ends))]
        });
        chart.draw_series(LineSeries::new(steps, RED.stroke_width(2)))?;
        // Burn rate that uses up the error budget exactly.
        chart.draw_series(LineSeries::new([(0.0, 1.0), (end, 1.0)], BLACK.stroke_width(1)))?;
        root.present()?;
    }
    Ok(svg)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
