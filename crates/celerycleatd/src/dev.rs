//! `--dev`: one instance to try things out.

use std::net::SocketAddr;
use std::time::Duration;

use cleat_settings::Settings;
use http::Method;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use crate::dev_jobs::DevJobs;
use crate::error::{DaemonError, ExampleSnafu, ProcessSnafu, TemporaryFolderSnafu};
use crate::run::{block_on, print_ready, start};
use crate::{dev_target, http_json};

const SERVICE: &str = "example";
const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(50);
/// Well below the default lease of a target.
const RENEW_EVERY: Duration = Duration::from_millis(1_500);

/// Runs the example until a signal.
pub(crate) fn run() -> Result<(), DaemonError> {
    let folder = tempfile::tempdir().context(TemporaryFolderSnafu)?;
    let mut settings = Settings::dev();
    settings.data_folder = Some(folder.path().to_owned());
    block_on(async {
        let running = start(&settings).await?;
        let addresses = running.instance.addresses();
        configure(addresses.operators).await?;
        announce(addresses.targets).await?;
        let jobs = DevJobs::start(folder.path()).await?;
        print_ready(&settings, &running.instance);
        let callers = addresses.callers;
        eprintln!("try: curl -i http://{callers}/{SERVICE}/hello");
        eprintln!(
            "operators: celerycleat --server {} status",
            addresses.operators
        );
        jobs.print_hints();
        running.until_signal().await?;
        jobs.stop().await;
        Ok(())
    })
}

fn example_config() -> Value {
    json!({
        "data_centres": {"dc1": {}},
        "pools": {"runners": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"}}}},
        "services": {SERVICE: {"pool": "runners"}},
    })
}

async fn configure(operators: SocketAddr) -> Result<(), DaemonError> {
    let change = json!({"expect": 0, "command_id": "dev", "config": example_config()});
    let step = "put the configuration into force";
    until_accepted(operators, "/config", &change, step).await
}

async fn announce(targets: SocketAddr) -> Result<(), DaemonError> {
    let address = dev_target::spawn().await.context(ProcessSnafu)?;
    let announcement = json!({
        "service": SERVICE, "address": address, "instance": "r1", "data_centre": "dc1",
    });
    let path = "/targets/built-in";
    until_accepted(targets, path, &announcement, "announce the built-in target").await?;
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(RENEW_EVERY).await;
            http_json::send(targets, Method::PUT, path, &announcement).await;
        }
    });
    Ok(())
}

async fn until_accepted(
    address: SocketAddr,
    path: &str,
    body: &Value,
    step: &'static str,
) -> Result<(), DaemonError> {
    for _ in 0..TRIES {
        if http_json::send(address, Method::PUT, path, body).await {
            return Ok(());
        }
        tokio::time::sleep(PAUSE).await;
    }
    None.context(ExampleSnafu { step })
}
