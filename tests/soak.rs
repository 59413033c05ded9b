//! The randomized fault soak at its shortest: a few seeds with few processes. More are played by its command.

use fault_soak::run::{run_scenario, RunPaths};
use fault_soak::scenario::Scenario;
use fault_soak::shim;
use std::path::PathBuf;

const GATEWAYS: usize = 5;
const SPAN_MS: f64 = 6000.0;
/// Troubles a second in wide scenarios.
const WIDE_DENSITY: f64 = 1.2;

/// The same in hard ones.
const HARD_DENSITY: f64 = 2.5;

/// Plays a scenario in a folder of its own, and fails with what broke.
fn breaks_no_rule(scenario: Scenario) {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let seed = scenario.seed;
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let library = shim::build(&folder).expect("the library is built");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_brassport"));
    let paths = RunPaths { program, shim: Some(library), folder };
    let report = runtime.block_on(run_scenario(scenario, &paths)).expect("the run's files are written");
    let broken: Vec<String> = report.violations.iter().map(ToString::to_string).collect();
    assert!(broken.is_empty(), "seed {seed}: {:#?}\n{:#?}", report.records.timeline, broken);
    assert!(report.records.requests.len() > 200, "there was a load");
}

// One test: two runs at a time would be in each other's way.
#[test]
fn a_few_seeds_of_overlapping_faults_break_no_rule() {
    for seed in [3, 4, 5] {
        breaks_no_rule(Scenario::draw(seed, GATEWAYS, SPAN_MS));
    }
    for seed in [20002, 20003] {
        breaks_no_rule(Scenario::draw_wide(seed, GATEWAYS, SPAN_MS, WIDE_DENSITY));
    }
    breaks_no_rule(Scenario::draw_hard(60001, GATEWAYS, SPAN_MS, HARD_DENSITY));
}
