//! A fleet of two pools, with helpers that apply one command each.

use cleat_world::{
    AdvanceMove, Announce, Announcement, Answer, ApplyConfig, Command, CommandBody, ConfigAnswer,
    MoveAnswer, MoveInstance, Phase, ProposedConfig, StartWave, Step, StepInstance, TargetAnswer,
    WaveAnswer, Withdraw, WithdrawCause, World,
};
use serde_json::{Value, json};

#[derive(Default)]
pub(crate) struct Fixture {
    pub(crate) world: World,
    index: u64,
}

impl Fixture {
    /// The pool `a` with the instances `a1`…, and the pool `b` with `b1`…: two instances
    /// per rack, each with a target.
    pub(crate) fn serving(a: u16, b: u16, budget: u64) -> Fixture {
        let mut f = Fixture::default();
        assert_eq!(f.config(&config(a, b, budget)), accepted(1));
        for (pool, count) in [("a", a), ("b", b)] {
            for i in 1..=count {
                f.announce_accepted(&format!("{pool}{i}"));
            }
        }
        f
    }

    pub(crate) fn run(&mut self, body: CommandBody) -> Answer {
        self.index += 1;
        let command = Command { at_ms: 1_000, body };
        let command = Command::decode(&command.encode()).expect("a command");
        let answer = self.world.apply(self.index, command);
        assert_eq!(Answer::decode(&answer.encode()), answer);
        answer
    }

    pub(crate) fn config(&mut self, config: &Value) -> ConfigAnswer {
        let answer = self.run(CommandBody::ApplyConfig(ApplyConfig {
            expect: self.world.version(),
            command_id: None,
            config: ProposedConfig::Whole(config.to_string().into()),
        }));
        match answer {
            Answer::Config(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    /// Announces the target of an instance for the service of its pool.
    pub(crate) fn announce(&mut self, instance: &str) -> TargetAnswer {
        let place = &self.world.places()[instance];
        let number: u16 = instance[1..].parse().expect("a number");
        let offset = u16::from(instance.as_bytes()[0]) * 100;
        let announcement = Announcement {
            service: format!("serve-{}", place.pool).into(),
            address: ([127, 0, 0, 1], offset + number).into(),
            instance: instance.into(),
            data_centre: "dc1".into(),
            slots: 8,
            connections: 64,
        };
        let name = format!("t-{instance}").into();
        match self.run(CommandBody::Announce(Announce { name, announcement })) {
            Answer::Target(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn announce_accepted(&mut self, instance: &str) {
        let answer = self.announce(instance);
        assert!(
            matches!(answer, TargetAnswer::Announced { .. }),
            "{answer:?}"
        );
    }

    /// Withdraws the target of the instance.
    pub(crate) fn withdraw_target(&mut self, instance: &str) {
        self.run(CommandBody::Withdraw(Withdraw {
            name: format!("t-{instance}").into(),
            cause: WithdrawCause::Left,
        }));
    }

    pub(crate) fn move_to(&mut self, instance: &str, to: &str, id: Option<&str>) -> MoveAnswer {
        self.run_move_command(CommandBody::MoveInstance(MoveInstance {
            instance: instance.into(),
            to: to.into(),
            command_id: id.map(Into::into),
        }))
    }

    /// Advances the move from its current phase.
    pub(crate) fn advance(&mut self, instance: &str, phase: Phase) -> MoveAnswer {
        let epoch = self.world.places()[instance].epoch;
        self.advance_from(instance, epoch, phase)
    }

    pub(crate) fn advance_from(&mut self, instance: &str, epoch: u64, phase: Phase) -> MoveAnswer {
        let instance = instance.into();
        self.run_move_command(CommandBody::AdvanceMove(AdvanceMove {
            instance,
            epoch,
            phase,
        }))
    }

    fn run_move_command(&mut self, body: CommandBody) -> MoveAnswer {
        match self.run(body) {
            Answer::Move(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn start_wave(&mut self, pool: &str) -> WaveAnswer {
        let (pool, command_id) = (pool.into(), None);
        self.run_wave_command(CommandBody::StartWave(StartWave { pool, command_id }))
    }

    /// Advances an instance of the pool `a` in the current wave.
    pub(crate) fn step(&mut self, instance: &str, from: Step, to: Step) -> WaveAnswer {
        let wave = self.world.waves()["a"].id;
        let (pool, instance) = ("a".into(), instance.into());
        self.run_wave_command(CommandBody::StepInstance(StepInstance {
            pool,
            wave,
            instance,
            from,
            to,
        }))
    }

    pub(crate) fn run_wave_command(&mut self, body: CommandBody) -> WaveAnswer {
        match self.run(body) {
            Answer::Wave(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn away(&self, pool: &str) -> u64 {
        self.world.availability(pool).expect("a pool").away
    }

    pub(crate) fn serving_names(&self) -> Vec<&str> {
        let targets = self.world.serving_targets();
        targets.map(|(_, t)| &*t.announcement.instance).collect()
    }
}

pub(crate) fn accepted(version: u64) -> ConfigAnswer {
    ConfigAnswer::Accepted { version }
}

pub(crate) fn leaving(to: &str) -> Phase {
    Phase::Leaving { to: to.into() }
}

pub(crate) fn drained(to: &str) -> Phase {
    Phase::Drained { to: to.into() }
}

pub(crate) fn config(a: u16, b: u16, budget: u64) -> Value {
    let instances = |pool: &str, count: u16| -> Value {
        let instance =
            |i: u16| json!({"data_centre": "dc1", "rack": format!("{pool}{}", (i - 1) / 2)});
        let named = (1..=count).map(|i| (format!("{pool}{i}"), instance(i)));
        Value::Object(named.collect())
    };
    json!({
        "data_centres": {"dc1": {}},
        "pools": {"a": {"instances": instances("a", a), "availability_budget": budget},
                  "b": {"instances": instances("b", b), "availability_budget": budget}},
        "services": {"serve-a": {"pool": "a"}, "serve-b": {"pool": "b"}},
        "platform": {"address": "127.0.0.1:9"},
    })
}
