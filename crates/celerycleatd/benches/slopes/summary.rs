//! The raw figures gathered into medians, spreads and slopes.

use std::sync::{Mutex, PoisonError};

use indexmap::IndexMap;

/// What one daemon used in one run, per second or per event.
#[derive(Clone, Copy)]
pub(crate) struct Usage {
    pub(crate) cpu_us: f64,
    pub(crate) sent_bytes: f64,
    pub(crate) received_bytes: f64,
    pub(crate) rss_mb: f64,
}

/// A figure of [`Usage`], with the name it is printed under.
type Figure = (&'static str, fn(&Usage) -> f64);

const FIGURES: [Figure; 4] = [
    ("cpu_us", |u| u.cpu_us),
    ("sent_bytes", |u| u.sent_bytes),
    ("received_bytes", |u| u.received_bytes),
    ("rss_mb", |u| u.rss_mb),
];

/// Runs by what was measured and the role, then by size.
type Runs = IndexMap<(Box<str>, Box<str>), IndexMap<usize, Vec<Usage>>>;

static RUNS: Mutex<Option<Runs>> = Mutex::new(None);

/// Remembers one run.
pub(crate) fn add(what: &str, role: &str, size: usize, usage: Usage) {
    let mut runs = RUNS.lock().unwrap_or_else(PoisonError::into_inner);
    let runs = runs.get_or_insert_default();
    let sizes = runs.entry((what.into(), role.into())).or_default();
    sizes.entry(size).or_default().push(usage);
}

/// Prints `#` lines: for each size the median and spread of each figure, then
/// its slope by size (least squares over the medians).
pub(crate) fn print() {
    let runs = RUNS.lock().unwrap_or_else(PoisonError::into_inner);
    for ((what, role), sizes) in runs.iter().flatten() {
        for (figure, value) in FIGURES {
            print_figure(what, role, figure, sizes, value);
        }
    }
}

fn print_figure(
    what: &str,
    role: &str,
    figure: &str,
    sizes: &IndexMap<usize, Vec<Usage>>,
    value: fn(&Usage) -> f64,
) {
    let mut text = String::new();
    let mut points = Vec::new();
    for (size, usages) in sizes {
        let mut values: Vec<_> = usages.iter().map(value).collect();
        values.sort_by(f64::total_cmp);
        let median = values[values.len() / 2];
        let (least, most) = (values[0], values[values.len() - 1]);
        text += &format!(" {size}: {median:.1} [{least:.1}..{most:.1}]");
        points.push((*size as f64, median));
    }
    println!("# {what} {role} {figure}{text} slope {:.3}", slope(&points));
}

/// The least-squares slope through the points, 0 for fewer than two.
fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
    let over: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if under > 0.0 { over / under } else { 0.0 }
}
