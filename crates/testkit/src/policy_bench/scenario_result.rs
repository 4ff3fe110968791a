//! What comes of a scenario: figures and plots.

use std::thread;

use super::{
    deployment::Deployment,
    fault::Schedule,
    figure::{Bound, Figure},
    record::{Record, Window, ratio},
    scenario::{BenchSettings, run_settings, window},
    simulation::{Strategy, run},
};

/// A run that is kept for the report's plots.
#[derive(Clone, Debug)]
pub struct Series {
    /// What was run.
    pub name: String,
    /// The 99th percentile of wide searches in each second, in milliseconds.
    pub p99: Vec<f64>,
    /// The mean coverage of wide searches in each second.
    pub coverage: Vec<f64>,
}

/// The figures and plots of one scenario.
#[derive(Clone, Debug, Default)]
pub struct ScenarioResult {
    /// The scenario's title.
    pub title: String,
    /// The figures.
    pub figures: Vec<Figure>,
    /// The plots.
    pub series: Vec<Series>,
}

/// The same run under each strategy.
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

    /// Makes an result with the measures that the users weigh, for each strategy.
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

    /// Adds a figure of the policy with its bound, and that of the naive version beside it.
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

    pub(super) fn ratio_to_naive(&self, quantile: f64) -> f64 {
        self.policy.wide_latency_ms(quantile, self.window)
            / self.naive.wide_latency_ms(quantile, self.window)
    }
}

/// Does three things, each on a thread of its own.
pub(super) fn run_parallel<T: Send, R: Send>(
    kinds: [T; 3],
    run_as: impl Fn(T) -> R + Sync,
) -> [R; 3] {
    thread::scope(|scope| {
        let run_as = &run_as;
        let running = kinds.map(|kind| scope.spawn(move || run_as(kind)));
        running.map(|thread| thread.join().expect("a run panicked"))
    })
}

impl Series {
    fn of(name: String, record: &Record, window: Window) -> Self {
        let seconds = 0..window.to.as_secs();
        let each = |second| Window::secs(second, second + 1);
        Self {
            name,
            p99: seconds
                .clone()
                .map(|second| record.wide_latency_ms(0.99, each(second)))
                .collect(),
            coverage: seconds
                .map(|second| record.coverage(each(second)))
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

    /// Adds what must hold in every run.
    pub(super) fn add_violations(&mut self, record: &Record) {
        let broken = ratio(record.violations(), 1);
        self.add_figure("broken promises", broken, Bound::AtMost(0.0));
    }

    pub(super) fn merge(&mut self, other: Self) {
        if self.title.is_empty() {
            self.title = other.title;
        }
        self.figures.extend(other.figures);
        self.series.extend(other.series);
    }
}
