//! The load generator, the forwarder and the bench on top of them.

use std::net::SocketAddr;
use std::time::Duration;

use cleat_fakes::{
    BenchOptions, BenchSide, Forwarder, FreeAddresses, LoadOptions, LoadReport, Pace, ProcessUsage,
    StandInTarget, TargetOptions, bench_path, format_table, run_load,
};

const SHORT: Duration = Duration::from_millis(200);

async fn target() -> StandInTarget {
    let bound = StandInTarget::bind(TargetOptions::default());
    bound.await.expect("a free port")
}

async fn load(address: SocketAddr, path: &str, pace: Pace) -> LoadReport {
    run_load(LoadOptions {
        address,
        path: path.into(),
        pace,
        connections: 4,
        duration: SHORT,
        keys: true,
        ..LoadOptions::default()
    })
    .await
}

#[tokio::test]
async fn load_counts_whole_answers() {
    let target = target().await;
    let report = load(target.address(), "/dock", Pace::Closed).await;
    assert!(report.whole > 0);
    assert_eq!((report.sent, report.faulty), (report.whole, 0));
    assert_eq!(report.outcomes["none"], report.whole);
    let counts = target.counts();
    assert_eq!(
        (counts.received, counts.distinct),
        (report.sent, report.sent)
    );
    assert!(counts.most_in_progress <= 4 && counts.most_connections <= 4);
}

#[tokio::test]
async fn load_open_sends_at_the_given_rate() {
    let target = target().await;
    let report = load(target.address(), "/", Pace::Open(500.0)).await;
    assert_eq!((report.sent, report.whole), (100, 100));
}

#[tokio::test]
async fn load_tells_bad_answers_apart() {
    let target = target().await;
    let cut = load(target.address(), "/?fault=cut", Pace::Open(100.0)).await;
    assert_eq!((cut.sent, cut.cut), (20, 20));
    let reset = load(target.address(), "/?fault=reset", Pace::Open(100.0)).await;
    assert_eq!((reset.sent, reset.failed), (20, 20));
    let other = load(target.address(), "/-/counts", Pace::Open(100.0)).await;
    assert_eq!((other.sent, other.faulty), (20, 20));
    // A second answer on the connection must never be taken for the next one.
    let stray = load(target.address(), "/?fault=extra", Pace::Open(100.0)).await;
    assert_eq!((stray.sent, stray.faulty), (20, 0));
    let gone = FreeAddresses.next();
    let none = load(gone, "/", Pace::Open(100.0)).await;
    assert_eq!((none.sent, none.failed), (20, 20));
}

#[tokio::test]
async fn forwarder_passes_answers_on_over_kept_connections() {
    let target = target().await;
    let anywhere = "127.0.0.1:0".parse().unwrap();
    let forwarder = Forwarder::bind(anywhere, target.address()).await.unwrap();
    let report = load(forwarder.address(), "/", Pace::Closed).await;
    assert!(report.whole > 0);
    assert_eq!(report.sent, report.whole);
    assert!(target.counts().most_connections <= 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bench_path_reports_each_side_size_and_loop() {
    let target = target().await;
    let anywhere: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let forwarder = Forwarder::bind(anywhere, target.address()).await.unwrap();
    let options = BenchOptions {
        target: target.address(),
        forwarder: forwarder.address(),
        forwarder_pid: std::process::id(),
        instance: forwarder.address(),
        instance_pid: std::process::id(),
        service: "dock".into(),
        sizes: vec![10, 1_000],
        rounds: 2,
        duration: Duration::from_millis(50),
        connections: 2,
        rate: Some(400.0),
    };
    let mut rows = 0;
    let summaries = bench_path(&options, |_| rows += 1).await.unwrap();
    assert_eq!((rows, summaries.len()), (24, 12));
    assert!(summaries.iter().all(|s| s.bad == 0 && s.per_second > 0.0));
    let direct = summaries.iter().filter(|s| s.side == BenchSide::Direct);
    assert!(direct.into_iter().all(|s| s.added.p50_us == 0.0));
    assert_eq!(format_table(&summaries).lines().count(), 14);
}

#[test]
fn process_usage_of_own_process() {
    let usage = ProcessUsage::of(std::process::id()).unwrap();
    assert!(usage.rss_bytes > 0 && usage.rss_bytes <= usage.peak_rss_bytes);
    assert!(ProcessUsage::of(u32::MAX).is_err());
}

#[test]
fn free_addresses_are_distinct_and_loopback() {
    let mut seen: Vec<_> = (0..1_000).map(|_| FreeAddresses.next()).collect();
    assert!(seen.iter().all(|address| address.ip().is_loopback()));
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 1_000);
}
