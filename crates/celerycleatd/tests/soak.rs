//! A short soak with a fixed seed. Longer ones run by hand; see
//! docs/DEVELOPERS.md.
#![allow(clippy::unwrap_used)]

use std::path::Path;

use cleat_soak::{FaultKind, SoakPlan, run};
use tempfile::TempDir;

const DAEMON: &str = env!("CARGO_BIN_EXE_celerycleatd");

/// Less load and time than by hand, and as long as it takes to finish.
fn short_plan() -> SoakPlan {
    SoakPlan {
        control: 3,
        gateways: 1,
        workers: 3,
        seconds: 6,
        finish_s: 120,
        ..SoakPlan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_short_plan_keeps_all_promises() {
    let (plan, folder) = (short_plan(), TempDir::new().unwrap());
    let report = run(&plan, 7, Path::new(DAEMON), folder.path());
    let report = report.await.unwrap();
    assert!(report.violations.is_empty(), "{report}");
}

#[test]
fn plan_read_takes_what_is_left_out_from_the_default() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("plan.json");
    std::fs::write(&file, r#"{"workers": 9, "faults": ["disk_lost"]}"#).unwrap();
    let plan = SoakPlan::read(&file).unwrap();
    assert_eq!(plan.workers, 9);
    assert_eq!(plan.faults, [FaultKind::DiskLost]);
    assert_eq!(plan.control, SoakPlan::default().control);
}

#[test]
fn plan_read_takes_a_large_fleet_and_refuses_a_larger_one() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("plan.json");
    let read = |gateways: u16, workers: u16| {
        let plan = format!(r#"{{"gateways": {gateways}, "workers": {workers}}}"#);
        std::fs::write(&file, plan).unwrap();
        SoakPlan::read(&file)
    };
    let plan = read(40, 400).unwrap();
    assert_eq!((plan.gateways, plan.workers), (40, 400));
    assert!(read(41, 400).is_err());
    assert!(read(40, 401).is_err());
}

#[test]
fn plan_read_refuses_unknown_keys_with_their_place() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("plan.json");
    std::fs::write(&file, r#"{"worker": 9}"#).unwrap();
    let error = SoakPlan::read(&file).unwrap_err();
    let cause = std::error::Error::source(&error).unwrap().to_string();
    assert!(cause.contains("unknown field `worker`"), "{cause}");
}
