//! Runs the executor on a simulated clock, with a platform that hangs for some
//! instances.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cleat_maintain::{
    ActionState, ActionToken, LeadershipLost, Platform, PlatformError, ReplicatedState, run,
};
use cleat_world::{ApplyConfig, Command, CommandBody, ProposedConfig, StartWave, World};
use serde_json::{Map, json};
use tokio::time::sleep;

const POOLS: usize = 90;
/// The number of pools for which the platform hangs: more than the effects that
/// may be in progress at once.
const HANGING_POOLS: usize = 80;
/// Not a multiple of the tick interval.
const HANG_TIME: Duration = Duration::from_millis(2_100);

#[derive(Default)]
struct Replica {
    world: Mutex<World>,
    index: AtomicU64,
    /// The term in which this instance leads; 0 if another instance leads.
    term: AtomicU64,
}

impl Replica {
    fn apply(&self, body: CommandBody) {
        let index = self.index.fetch_add(1, Ordering::SeqCst) + 1;
        let mut world = self.world.lock().expect("no thread panicked");
        world.apply(index, Command { at_ms: 0, body });
    }

    fn ended_waves(&self) -> usize {
        let world = self.world.lock().expect("no thread panicked");
        world.waves().values().filter(|w| w.has_ended()).count()
    }
}

impl ReplicatedState for Replica {
    fn leading_term(&self) -> Option<u64> {
        Some(self.term.load(Ordering::SeqCst)).filter(|term| *term > 0)
    }

    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R {
        read(&self.world.lock().expect("no thread panicked"))
    }

    async fn propose(&self, body: CommandBody) -> Result<(), LeadershipLost> {
        self.apply(body);
        Ok(())
    }

    async fn wait_in_force(&self, _: u64) -> Result<(), LeadershipLost> {
        Ok(())
    }
}

/// Hangs for the first pools and completes actions at once for the others.
#[derive(Default)]
struct HangingPlatform {
    /// The number of calls.
    calls: AtomicU64,
    in_progress: Mutex<Vec<ActionToken>>,
    /// The number of calls with a token that was in progress already.
    duplicates: AtomicU64,
}

impl HangingPlatform {
    fn begin(&self, token: &ActionToken) {
        let mut in_progress = self.in_progress.lock().expect("no thread panicked");
        if in_progress.contains(token) {
            self.duplicates.fetch_add(1, Ordering::SeqCst);
        }
        in_progress.push(token.clone());
    }

    fn end(&self, token: &ActionToken) {
        let mut in_progress = self.in_progress.lock().expect("no thread panicked");
        in_progress.retain(|other| other != token);
    }
}

impl Platform for HangingPlatform {
    async fn run_action(
        &self,
        at: SocketAddr,
        token: &ActionToken,
        _: u64,
    ) -> Result<ActionState, PlatformError> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        let pool: usize = token.instance[1..].parse().expect("a number");
        if pool >= HANGING_POOLS {
            return Ok(ActionState::Done);
        }
        self.begin(token);
        sleep(HANG_TIME).await;
        self.end(token);
        Err(PlatformError::Timeout {
            address: at,
            limit: HANG_TIME,
        })
    }
}

fn pools_with_waves() -> Arc<Replica> {
    let mut pools = Map::new();
    for i in 0..POOLS {
        let instance = json!({format!("i{i}"): {"data_centre": "dc1", "rack": "k"}});
        let maintenance = json!({"probation_s": 1, "drain_s": 3_600});
        let pool =
            json!({"instances": instance, "availability_budget": 1, "maintenance": maintenance});
        pools.insert(format!("p{i}"), pool);
    }
    let config = json!({"data_centres": {"dc1": {}}, "pools": pools, "services": {},
        "platform": {"address": "127.0.0.1:9"}});
    let replica = Replica::default();
    replica.apply(CommandBody::ApplyConfig(ApplyConfig {
        expect: 0,
        command_id: None,
        config: ProposedConfig::Whole(config.to_string().into()),
    }));
    for i in 0..POOLS {
        let (pool, command_id) = (format!("p{i}").into(), None);
        replica.apply(CommandBody::StartWave(StartWave { pool, command_id }));
    }
    Arc::new(replica)
}

#[tokio::test(start_paused = true)]
async fn run_completes_other_waves_while_the_platform_hangs_for_many() {
    let replica = pools_with_waves();
    let platform = Arc::new(HangingPlatform::default());
    let executor = tokio::spawn(run(replica.clone(), platform.clone()));
    sleep(Duration::from_secs(10)).await;
    // The instance does not lead, so it does nothing.
    assert_eq!(platform.calls.load(Ordering::SeqCst), 0);
    replica.term.store(1, Ordering::SeqCst);
    sleep(Duration::from_secs(120)).await;
    assert_eq!(replica.ended_waves(), POOLS - HANGING_POOLS);
    assert_eq!(platform.duplicates.load(Ordering::SeqCst), 0);
    replica.term.store(0, Ordering::SeqCst);
    sleep(Duration::from_secs(5)).await;
    let calls = platform.calls.load(Ordering::SeqCst);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(platform.calls.load(Ordering::SeqCst), calls);
    executor.abort();
}
