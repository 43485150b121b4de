//! The shell on a clock of its own, with a platform that hangs for some.

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
/// More than may be in progress at once.
const HANGING: usize = 80;
/// Not a multiple of a tick.
const HANGS: Duration = Duration::from_millis(2_100);

#[derive(Default)]
struct Replica {
    world: Mutex<World>,
    index: AtomicU64,
    /// 0 while another instance leads.
    term: AtomicU64,
}

impl Replica {
    fn apply(&self, body: CommandBody) {
        let index = self.index.fetch_add(1, Ordering::SeqCst) + 1;
        let mut world = self.world.lock().expect("no panic");
        world.apply(index, Command { at_ms: 0, body });
    }

    fn ended(&self) -> usize {
        let world = self.world.lock().expect("no panic");
        world.waves().values().filter(|w| w.has_ended()).count()
    }
}

impl ReplicatedState for Replica {
    fn leading_term(&self) -> Option<u64> {
        Some(self.term.load(Ordering::SeqCst)).filter(|term| *term > 0)
    }

    fn world<R>(&self, read: impl FnOnce(&World) -> R) -> R {
        read(&self.world.lock().expect("no panic"))
    }

    async fn propose(&self, body: CommandBody) -> Result<(), LeadershipLost> {
        self.apply(body);
        Ok(())
    }

    async fn wait_in_force(&self, _: u64) -> Result<(), LeadershipLost> {
        Ok(())
    }
}

/// Hangs for the first pools and does at once what it is asked for others.
#[derive(Default)]
struct Hanging {
    asked: AtomicU64,
    in_progress: Mutex<Vec<ActionToken>>,
    /// How often it was asked for what it was asked for already.
    twice: AtomicU64,
}

impl Hanging {
    fn begin(&self, token: &ActionToken) {
        let mut in_progress = self.in_progress.lock().expect("no panic");
        if in_progress.contains(token) {
            self.twice.fetch_add(1, Ordering::SeqCst);
        }
        in_progress.push(token.clone());
    }

    fn end(&self, token: &ActionToken) {
        let mut in_progress = self.in_progress.lock().expect("no panic");
        in_progress.retain(|other| other != token);
    }
}

impl Platform for Hanging {
    async fn run_action(
        &self,
        at: SocketAddr,
        token: &ActionToken,
        _: u64,
    ) -> Result<ActionState, PlatformError> {
        self.asked.fetch_add(1, Ordering::SeqCst);
        let pool: usize = token.instance[1..].parse().expect("a number");
        if pool >= HANGING {
            return Ok(ActionState::Done);
        }
        self.begin(token);
        sleep(HANGS).await;
        self.end(token);
        Err(PlatformError::Timeout {
            address: at,
            limit: HANGS,
        })
    }
}

fn maintained_pools() -> Arc<Replica> {
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
async fn run_serves_all_while_the_platform_hangs_for_many() {
    let replica = maintained_pools();
    let platform = Arc::new(Hanging::default());
    let shell = tokio::spawn(run(replica.clone(), platform.clone()));
    sleep(Duration::from_secs(10)).await;
    // It does not lead, so it does nothing.
    assert_eq!(platform.asked.load(Ordering::SeqCst), 0);
    replica.term.store(1, Ordering::SeqCst);
    sleep(Duration::from_secs(120)).await;
    assert_eq!(replica.ended(), POOLS - HANGING);
    assert_eq!(platform.twice.load(Ordering::SeqCst), 0);
    replica.term.store(0, Ordering::SeqCst);
    sleep(Duration::from_secs(5)).await;
    let asked = platform.asked.load(Ordering::SeqCst);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(platform.asked.load(Ordering::SeqCst), asked);
    shell.abort();
}
