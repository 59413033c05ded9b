//! The command: runs the scenarios of several seeds one after another and prints the violations.

use clap::Parser;
use fault_soak::event_log::Outcome;
use fault_soak::run::{run_scenario, Report, RunPaths};
use fault_soak::scenario::{Scenario, FAULTS_PER_SECOND};
use fault_soak::shim;
use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

/// Injects randomized faults into runs of real gateway processes and checks the rules of the service.
#[derive(Debug, Parser)]
struct Arguments {
    /// The gateway's executable.
    #[arg(long, default_value = "target/release/brassport")]
    gateway: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds to run, counted up from the first.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The number of gateway processes.
    #[arg(long, default_value_t = 10)]
    gateways: usize,
    /// The duration of the load in seconds.
    #[arg(long, default_value_t = 12.0)]
    seconds: f64,
    /// Faults per second of load.
    #[arg(long, default_value_t = FAULTS_PER_SECOND)]
    density: f64,
    /// Draws wide scenarios: with a meter, two zones, long quiet starts, and more kinds of faults.
    #[arg(long)]
    wide: bool,
    /// Draws hard scenarios: wide ones with bursts of connections to paused gateways, and with substitutes for faults
    /// that would have no effect.
    #[arg(long)]
    hard: bool,
    /// The share of faults that are replaced by restarts in an outage of discovery, with lists from before it.
    #[arg(long, default_value_t = 0.0)]
    restarts_in_outages: f64,
    /// The folder for configurations, logs and control files.
    #[arg(long, default_value = "target/fault-soak")]
    folder: PathBuf,
    /// The number of violations to print in full for each seed.
    #[arg(long = "shown", default_value_t = 3)]
    printed_violations: usize,
    /// Prints the injected faults of each seed, and the requests whose connection closed before a response.
    #[arg(long = "troubles")]
    print_faults: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("fault-soak: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run_seeds(&arguments)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fault-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all seeds and returns how many of them broke a rule.
async fn run_seeds(arguments: &Arguments) -> std::io::Result<usize> {
    fs::create_dir_all(&arguments.folder)?;
    let shim = shim::build(&arguments.folder)?;
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = arguments.folder.join(format!("seed-{seed}"));
        fs::create_dir_all(&folder)?;
        let paths = RunPaths { program: arguments.gateway.clone(), shim: Some(shim.clone()), folder };
        let draw = match (arguments.hard, arguments.wide) {
            (true, _) => Scenario::draw_hard,
            (false, true) => Scenario::draw_wide,
            (false, false) => Scenario::draw_dense,
        };
        let scenario = draw(seed, arguments.gateways, arguments.seconds * 1000.0, arguments.density)
            .with_restarts_in_outages(arguments.restarts_in_outages);
        let report = run_scenario(scenario, &paths).await?;
        print_report(&report, arguments);
        broken += usize::from(!report.violations.is_empty());
    }
    println!("{broken} of {} seeds broke a rule", arguments.seeds);
    Ok(broken)
}

fn print_report(report: &Report, arguments: &Arguments) {
    let records = &report.records;
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for request in records.requests.values() {
        let name = match (&request.outcome, request.left_at) {
            (_, Some(_)) => "left".to_string(),
            (Some((Outcome::Response { status, .. }, _)), None) => status.to_string(),
            (Some((Outcome::Closed { .. }, _)), None) => "closed".to_string(),
            (Some((Outcome::NoResponse, _)), None) => "no response".to_string(),
            (None, None) => "open".to_string(),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    let mut rules: BTreeMap<_, usize> = BTreeMap::new();
    for violation in &report.violations {
        *rules.entry(violation.rule).or_default() += 1;
    }
    println!(
        "seed {}: {} requests {outcomes:?}, {} attempts, rig timer at most {:.0} ms late, rules broken {rules:?}",
        report.scenario.seed,
        records.requests.len(),
        records.attempts.len(),
        records.rig_timer_delay,
    );
    if arguments.print_faults || !report.violations.is_empty() {
        println!(
            "  mode {:?}, drain grace {:.0} ms",
            report.scenario.site.mode, report.scenario.site.drain_grace
        );
        for entry in &records.timeline {
            println!("  {:6.0} ms {}", entry.at, entry.text);
        }
    }
    if arguments.print_faults {
        let closed = records.requests.values();
        let closed = closed.filter(|request| matches!(request.outcome, Some((Outcome::Closed { .. }, _))));
        closed.for_each(|request| println!("  closed without a response: {request:?}"));
    }
    for violation in report.violations.iter().take(arguments.printed_violations) {
        println!("  {violation}");
    }
}
