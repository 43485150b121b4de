//! Commands against the replicated state.

use cleat_world::{
    Announce, Announcement, Answer, ApplyConfig, BeginIncarnation, ClaimKey, Command, CommandBody,
    ConfigAnswer, KeyAnswer, KeyTable, KeyTerms, ProposedConfig, SettleKey, Settlement,
    StoredAnswer, TargetAnswer, Withdraw, WithdrawCause, World,
};
use serde_json::{Value, json};

const CONFIG: &str = r#"{
  "data_centres": {"dc1": {}, "dc2": {}},
  "pools": {"runners": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"},
                                      "r2": {"data_centre": "dc2", "rack": "k2"}},
                        "availability_budget": 1}},
  "services": {"dock": {"pool": "runners", "deadline_ms": 2000}}
}"#;

#[derive(Default)]
struct Fixture {
    world: World,
    index: u64,
}

impl Fixture {
    fn configured() -> Fixture {
        let mut fixture = Fixture::default();
        fixture.config(0, None, CONFIG);
        fixture
    }

    fn run_at(&mut self, at_ms: u64, body: CommandBody) -> Answer {
        self.index += 1;
        let command = Command { at_ms, body };
        let command = Command::decode(&command.encode()).expect("a command");
        let answer = self.world.apply(self.index, command);
        assert_eq!(Answer::decode(&answer.encode()), answer);
        answer
    }

    fn run(&mut self, body: CommandBody) -> Answer {
        self.run_at(1_000, body)
    }

    fn config(&mut self, expect: u64, id: Option<&str>, config: &str) -> Answer {
        self.run(CommandBody::ApplyConfig(ApplyConfig {
            expect,
            command_id: id.map(Into::into),
            config: ProposedConfig::Whole(config.into()),
        }))
    }

    fn announce(&mut self, name: &str, instance: &str, dc: &str, port: u16) -> TargetAnswer {
        let answer = self.run(CommandBody::Announce(Announce {
            name: name.into(),
            announcement: Announcement {
                service: "dock".into(),
                address: ([127, 0, 0, 1], port).into(),
                instance: instance.into(),
                data_centre: dc.into(),
                slots: 8,
                connections: 64,
            },
        }));
        match answer {
            Answer::Target(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    fn claim_at(&mut self, at_ms: u64, entry: &str, digest: u64) -> KeyAnswer {
        let answer = self.run_at(
            at_ms,
            CommandBody::ClaimKey(ClaimKey {
                key: "dock\0school\0k".into(),
                digest,
                entry: entry.into(),
                incarnation: 1,
                number: self.index,
                settle_timeout_ms: 5_000,
            }),
        );
        match answer {
            Answer::Key(answer) => answer,
            other => panic!("{other:?}"),
        }
    }

    /// Settles the claim that was made by the first command after the
    /// configuration.
    fn settle(&mut self, entry: &str, incarnation: u64, settlement: Settlement) -> Answer {
        self.settle_number(1, entry, incarnation, settlement)
    }

    fn settle_number(
        &mut self,
        number: u64,
        entry: &str,
        incarnation: u64,
        settlement: Settlement,
    ) -> Answer {
        self.run(CommandBody::SettleKey(SettleKey {
            key: "dock\0school\0k".into(),
            entry: entry.into(),
            incarnation,
            number,
            settlement,
        }))
    }
}

fn accepted(version: u64) -> Answer {
    Answer::Config(ConfigAnswer::Accepted { version })
}

#[test]
fn config_equal_versions_one_wins() {
    let mut f = Fixture::default();
    assert_eq!(f.config(0, Some("a"), CONFIG), accepted(1));
    let lost = ConfigAnswer::Refused {
        winner: 1,
        winner_command_id: Some("a".into()),
    };
    assert_eq!(f.config(0, Some("b"), CONFIG), Answer::Config(lost.clone()));
    assert_eq!(f.config(1, Some("c"), CONFIG), accepted(2));
    assert_eq!(f.config(0, Some("a"), CONFIG), accepted(1));
    assert_eq!(f.config(2, Some("b"), CONFIG), Answer::Config(lost));
}

#[test]
fn config_lists_every_fault() {
    let mut f = Fixture::default();
    let bad = r#"{"data_centres": {"dc1": {}}, "surprise": 1,
      "pools": {"a": {"instances": {"r1": {"data_centre": "dc1", "rack": "k"}}, "availability_budget": 2},
                "b": {"instances": {"r1": {"data_centre": "dc9"}}}},
      "services": {"s": {"pool": "c", "deadline_ms": "soon"}}}"#;
    let Answer::Config(ConfigAnswer::Invalid { faults }) = f.config(0, None, bad) else {
        panic!("accepted");
    };
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    $.surprise is not a known key; remove or correct it
    $.pools.a.availability_budget is 2; it must be from 0 to 1
    $.pools.b.instances.r1 uses the instance "r1" again, first used at $.pools.a.instances.r1; keep one of them
    $.services.s.pool names the pool "c", which does not exist; define it or correct the name
    $.services.s.deadline_ms must be a whole number, not negative
    "#);
    assert_eq!(f.world.version(), 0);
}

#[test]
fn config_default_text_is_valid() {
    let mut f = Fixture::default();
    assert_eq!(
        f.config(0, None, cleat_world::default_config_text()),
        accepted(1)
    );
}

#[test]
fn snapshot_restores_the_same_state() {
    let mut f = Fixture::configured();
    f.announce("t1", "r1", "dc1", 9001);
    f.claim_at(1_000, "e1", 7);
    let copy = World::restore(&f.world.snapshot()).unwrap();
    assert_eq!(copy.snapshot(), f.world.snapshot());
    assert_eq!(copy.fleet().services.len(), 1);
    assert!(World::restore(&[1, 2, 3]).is_err());
}

#[test]
fn announce_checks_its_place() {
    let mut f = Fixture::configured();
    assert_eq!(
        f.announce("t1", "r9", "dc1", 9001),
        TargetAnswer::UnknownInstance
    );
    let wrong = TargetAnswer::WrongDataCentre {
        data_centre: "dc1".into(),
    };
    assert_eq!(f.announce("t1", "r1", "dc2", 9001), wrong);
    assert!(matches!(
        f.announce("t1", "r1", "dc1", 9001),
        TargetAnswer::Announced { .. }
    ));
    let taken = TargetAnswer::AddressTaken { by: "t1".into() };
    assert_eq!(f.announce("t2", "r2", "dc2", 9001), taken);
}

#[test]
fn withdraw_lapse_spares_a_later_announcement() {
    let mut f = Fixture::configured();
    let TargetAnswer::Announced { incarnation, .. } = f.announce("t1", "r1", "dc1", 9001) else {
        panic!("refused");
    };
    f.announce("t1", "r1", "dc1", 9002);
    let withdraw = |cause| {
        CommandBody::Withdraw(Withdraw {
            name: "t1".into(),
            cause,
        })
    };
    f.run(withdraw(WithdrawCause::LeaseLapsed { incarnation }));
    assert_eq!(f.world.targets().len(), 1);
    f.run(withdraw(WithdrawCause::Left));
    assert!(f.world.targets().is_empty());
}

#[test]
fn config_drops_targets_without_a_place() {
    let mut f = Fixture::configured();
    f.announce("t1", "r1", "dc1", 9001);
    f.announce("t2", "r2", "dc2", 9002);
    f.config(1, None, &CONFIG.replace("\"r2\"", "\"r3\""));
    let left: Vec<_> = f.world.targets().keys().map(|name| &**name).collect();
    assert_eq!(left, ["t1"]);
}

#[test]
fn claim_runs_once() {
    let answer = StoredAnswer {
        status: 201,
        headers: vec![],
        body: (*b"booked").into(),
    };
    let mut f = Fixture::configured();
    assert_eq!(f.claim_at(1_000, "e1", 7), KeyAnswer::Granted);
    let busy = KeyAnswer::InProgress { entry: "e1".into() };
    assert_eq!(f.claim_at(1_000, "e2", 7), busy);
    assert_eq!(f.claim_at(1_000, "e2", 8), KeyAnswer::OtherRequest);
    let not_holder = Answer::Key(KeyAnswer::NotHolder);
    assert_eq!(f.settle("e2", 1, Settlement::NotRun), not_holder);
    f.settle("e1", 1, Settlement::Ran(answer.clone()));
    assert_eq!(f.claim_at(1_000, "e2", 7), KeyAnswer::Ran(answer));
}

#[test]
fn claim_not_run_may_be_claimed_anew() {
    let mut f = Fixture::configured();
    f.claim_at(1_000, "e1", 7);
    f.settle("e1", 1, Settlement::NotRun);
    assert_eq!(f.world.keys().look_up("dock\0school\0k", 7), None);
    assert_eq!(f.claim_at(1_000, "e2", 7), KeyAnswer::Granted);
    let busy = KeyAnswer::InProgress { entry: "e2".into() };
    assert_eq!(f.world.keys().look_up("dock\0school\0k", 7), Some(busy));
}

#[test]
fn settle_late_spares_a_later_claim() {
    let mut f = Fixture::configured();
    f.claim_at(1_000, "e1", 7);
    f.settle("e1", 1, Settlement::NotRun);
    assert_eq!(f.claim_at(1_000, "e1", 7), KeyAnswer::Granted);
    // The first settlement arrives again; the second claim is in progress.
    let not_holder = Answer::Key(KeyAnswer::NotHolder);
    assert_eq!(f.settle("e1", 1, Settlement::NotRun), not_holder);
    let busy = KeyAnswer::InProgress { entry: "e1".into() };
    assert_eq!(f.claim_at(1_000, "e2", 7), busy);
    let settled = Answer::Key(KeyAnswer::Settled);
    assert_eq!(f.settle_number(3, "e1", 1, Settlement::Unknown), settled);
}

#[test]
fn claim_of_a_dead_holder_is_unknown() {
    let mut f = Fixture::configured();
    f.claim_at(1_000, "e1", 7);
    f.run(CommandBody::BeginIncarnation(BeginIncarnation {
        entry: "e1".into(),
        incarnation: 2,
    }));
    assert_eq!(f.claim_at(1_000, "e2", 7), KeyAnswer::Unknown);
    let not_holder = Answer::Key(KeyAnswer::NotHolder);
    assert_eq!(f.settle("e1", 1, Settlement::NotRun), not_holder);
}

#[test]
fn claim_never_settled_is_unknown_after_its_hold() {
    let mut f = Fixture::configured();
    f.claim_at(1_000, "e1", 7);
    assert_eq!(f.claim_at(6_000, "e2", 7), KeyAnswer::Unknown);
    assert_eq!(f.claim_at(601_000, "e2", 7), KeyAnswer::Granted);
}

#[test]
fn patch_makes_the_wanted_configuration() {
    let mut f = Fixture::configured();
    let mut wanted: Value = serde_json::from_str(CONFIG).expect("JSON");
    wanted["services"]["tides"] = json!({"pool": "runners"});
    wanted["data_centres"]["dc3"] = json!({});
    wanted["services"]
        .as_object_mut()
        .expect("an object")
        .shift_remove("dock");
    let base = serde_json::from_str(f.world.config_text()).expect("JSON");
    let patch = cleat_world::diff(&base, &wanted).expect("a patch");
    let expected = json!({"data_centres": {"dc3": {}}, "services": {"dock": null, "tides": {"pool": "runners"}}});
    assert_eq!(patch, expected);
    let answer = f.run(CommandBody::ApplyConfig(ApplyConfig {
        expect: 1,
        command_id: None,
        config: ProposedConfig::Patch(patch.to_string().into()),
    }));
    assert_eq!(answer, accepted(2));
    let made: Value = serde_json::from_str(f.world.config_text()).expect("JSON");
    assert_eq!(made, wanted);
    assert_eq!(cleat_world::diff(&base, &json!({"a": {"b": null}})), None);
}

#[test]
fn answers_over_the_bound_give_up_the_oldest() {
    const MIB: usize = 1 << 20;
    let mut table = KeyTable::default();
    let mut run = |number: u64, at_ms| {
        let key: Box<str> = format!("k{number}").into();
        let claim = ClaimKey {
            key: key.clone(),
            digest: 7,
            entry: "e1".into(),
            incarnation: 1,
            number,
            settle_timeout_ms: 5_000,
        };
        let answer = StoredAnswer {
            status: 200,
            headers: vec![],
            body: vec![0; 3 * MIB / 2].into(),
        };
        assert_eq!(
            table.claim(claim, KeyTerms::default(), at_ms),
            KeyAnswer::Granted
        );
        table.settle(SettleKey {
            key: key.clone(),
            entry: "e1".into(),
            incarnation: 1,
            number,
            settlement: Settlement::Ran(answer),
        });
        (table.look_up("k1", 7), table.look_up(&key, 7))
    };
    assert!(matches!(run(1, 0).0, Some(KeyAnswer::Ran(_))));
    assert!(matches!(run(2, 0).0, Some(KeyAnswer::Ran(_))));
    let (oldest, newest) = run(3, 0);
    assert_eq!(oldest, Some(KeyAnswer::RanAnswerNotKept));
    assert!(matches!(newest, Some(KeyAnswer::Ran(_))));
    // What has been forgotten with its key takes no memory any more.
    let (oldest, newest) = run(4, 700_000);
    assert_eq!(oldest, None);
    assert!(matches!(newest, Some(KeyAnswer::Ran(_))));
}
