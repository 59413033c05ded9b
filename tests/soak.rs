//! A short run of the randomized fault soak: a few seeds with few processes. The `fault-soak` command runs more.

use fault_soak::run::{run_scenario, RunPaths};
use fault_soak::scenario::Scenario;
use fault_soak::shim;
use std::path::PathBuf;

const GATEWAYS: usize = 5;
const LOAD_MS: f64 = 6000.0;
/// Faults per second of load in wide scenarios.
const WIDE_DENSITY: f64 = 1.2;
/// Faults per second of load in hard scenarios.
const HARD_DENSITY: f64 = 2.5;
/// The share of faults that are restarts in an outage of discovery, where a scenario has these.
const RESTARTS_IN_OUTAGES: f64 = 0.6;

/// Runs a scenario and fails with the violations of rules, if any.
fn assert_no_violation(scenario: Scenario) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let seed = scenario.seed;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the target folder is writable");
    let library = shim::build(&folder).expect("the fault shim can be built");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_brassport"));
    let paths = RunPaths { program, shim: Some(library), folder };
    let report = runtime.block_on(run_scenario(scenario, &paths)).expect("the run's files can be written");
    let violations: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "seed {seed}: {:#?}\n{:#?}", report.records.timeline, violations);
    assert!(report.records.requests.len() > 200, "too few requests were sent for the run to count");
}

// One test for all seeds: parallel runs would compete for the machine and delay each other.
#[test]
fn a_few_seeds_of_overlapping_faults_break_no_rule() {
    for seed in [3, 4, 5] {
        assert_no_violation(Scenario::draw(seed, GATEWAYS, LOAD_MS));
    }
    for seed in [20002, 20003] {
        assert_no_violation(Scenario::draw_wide(seed, GATEWAYS, LOAD_MS, WIDE_DENSITY));
    }
    // Restarts in outages: gateways sent by the lists in their configurations to servers that their agents had as draining.
    for seed in [30001, 30005] {
        let scenario = Scenario::draw_wide(seed, GATEWAYS, LOAD_MS, WIDE_DENSITY);
        assert_no_violation(scenario.with_restarts_in_outages(RESTARTS_IN_OUTAGES));
    }
    assert_no_violation(Scenario::draw_hard(60001, GATEWAYS, LOAD_MS, HARD_DENSITY));
}
