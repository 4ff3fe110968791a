//! The result of a scenario: figures and plot data.

use std::thread;

use super::{
    deployment::Deployment,
    fault::Schedule,
    figure::{Bound, Figure},
    record::{Record, Window, ratio},
    scenario::{BenchSettings, run_settings, window},
    simulation::{Strategy, run},
};

/// The time series of one run, for the plots of the report.
#[derive(Clone, Debug)]
pub struct Series {
    /// The label of the run in the legend of a plot.
    pub name: String,
    /// The 99th percentile latency of wide searches in each second, in milliseconds.
    pub p99: Vec<f64>,
    /// The mean coverage of wide searches in each second.
    pub coverage: Vec<f64>,
}

/// The figures and plot data of one scenario.
#[derive(Clone, Debug, Default)]
pub struct ScenarioResult {
    /// The scenario's title.
    pub title: String,
    /// The measured figures.
    pub figures: Vec<Figure>,
    /// The time series to plot, three for each plot.
    pub series: Vec<Series>,
}

/// The measurements of the same run under each strategy.
pub(super) struct StrategyRuns {
    pub(super) policy: Record,
    pub(super) naive: Record,
    pub(super) round_robin: Record,
    pub(super) window: Window,
    deployment: &'static str,
}

impl StrategyRuns {
    pub(super) fn run(
        settings: &BenchSettings,
        deployment: &Deployment,
        load: f64,
        faults: &Schedule,
    ) -> Self {
        let run_as = |strategy| run(run_settings(settings, deployment, strategy, load, faults));
        let strategies = [Strategy::Policy, Strategy::Naive, Strategy::RoundRobin];
        let [policy, naive, round_robin] = run_parallel(strategies, run_as);
        Self {
            policy,
            naive,
            round_robin,
            window: window(settings),
            deployment: deployment.name,
        }
    }

    /// Returns a result with tail latency, coverage and extra calls of each strategy.
    pub(super) fn result(&self, title: &str) -> ScenarioResult {
        let mut result = ScenarioResult::new(title);
        let runs = [
            ("policy", &self.policy),
            ("naive", &self.naive),
            ("thin", &self.round_robin),
        ];
        for (name, record) in runs {
            let p99 = record.wide_latency_ms(0.99, self.window);
            result.add_figure(&format!("{name}: p99 ms"), p99, Bound::None);
            let coverage = record.coverage(self.window);
            result.add_figure(&format!("{name}: coverage"), coverage, Bound::None);
            let extra = record.extra_share(self.window);
            result.add_figure(&format!("{name}: extra calls"), extra, Bound::None);
            let deployment = self.deployment;
            let label = format!("{deployment} {title}, {name}");
            result.series.push(Series::of(label, record, self.window));
        }
        result
    }

    /// Adds a figure of the policy with its bound, and the same figure of the naive strategy
    /// without one.
    pub(super) fn add_with_naive(
        &self,
        result: &mut ScenarioResult,
        name: &str,
        bound: Bound,
        measure: impl Fn(&Record) -> f64,
    ) {
        result.add_figure(name, measure(&self.policy), bound);
        let naive = measure(&self.naive);
        result.add_figure(&format!("{name}, naive"), naive, Bound::None);
    }

    /// Returns a quantile of the wide search latency under the policy, relative to the naive
    /// strategy.
    pub(super) fn ratio_to_naive(&self, quantile: f64) -> f64 {
        self.policy.wide_latency_ms(quantile, self.window)
            / self.naive.wide_latency_ms(quantile, self.window)
    }
}

/// Calls `run_as` for three values, each on its own thread.
pub(super) fn run_parallel<T: Send, R: Send>(
    kinds: [T; 3],
    run_as: impl Fn(T) -> R + Sync,
) -> [R; 3] {
    thread::scope(|scope| {
        let run_as = &run_as;
        let running = kinds.map(|kind| scope.spawn(move || run_as(kind)));
        running.map(|thread| thread.join().expect("a run does not panic"))
    })
}

impl Series {
    fn of(name: String, record: &Record, window: Window) -> Self {
        let seconds = 0..window.to.as_secs();
        let window_of = |second| Window::secs(second, second + 1);
        Self {
            name,
            p99: seconds
                .clone()
                .map(|second| record.wide_latency_ms(0.99, window_of(second)))
                .collect(),
            coverage: seconds
                .map(|second| record.coverage(window_of(second)))
                .collect(),
        }
    }
}

impl ScenarioResult {
    pub(super) fn new(title: &str) -> Self {
        Self {
            title: title.to_owned(),
            ..Self::default()
        }
    }

    pub(super) fn add_figure(&mut self, name: &str, value: f64, bound: Bound) {
        let title = &self.title;
        let figure = Figure::new(format!("{title}: {name}"), value, bound);
        self.figures.push(figure);
    }

    /// Adds the number of violated guarantees, which must be zero in every run.
    pub(super) fn add_violations(&mut self, record: &Record) {
        let violations = ratio(record.violations(), 1);
        self.add_figure("broken promises", violations, Bound::AtMost(0.0));
    }

    pub(super) fn merge(&mut self, other: Self) {
        if self.title.is_empty() {
            self.title = other.title;
        }
        self.figures.extend(other.figures);
        self.series.extend(other.series);
    }
}
