//! Customers in the configuration, and which customer a call or a job belongs to.

mod support;

use std::sync::Arc;

use cleat_jobs::{
    Caller, Catalogue, CatalogueDraft, CatalogueFault, Command, CommandOutcome, ControlState,
    CustomerDraft, JobId, JobState, KeyDigest, Queue,
};
use proptest::prelude::*;
use support::{catalogue, customer, draft, job, step};

fn draft_with(customers: Vec<CustomerDraft>) -> CatalogueDraft {
    CatalogueDraft {
        customers: Some(customers),
        ..draft(1)
    }
}

fn faults(customers: Vec<CustomerDraft>) -> Vec<CatalogueFault> {
    let catalogue = Catalogue::new(draft_with(customers));
    catalogue.map_or_else(|error| error.faults, |_| Vec::new())
}

fn name_of(catalogue: &Catalogue, queue: &Queue, key: &str) -> Option<Box<str>> {
    let caller = catalogue.authenticate(queue, Some(&KeyDigest::of(key)));
    caller.name().map(Into::into)
}

#[test]
fn caller_by_either_of_two_keys() {
    let customers = vec![customer("a", &["k1", "k2"], 0), customer("b", &["k3"], 0)];
    let catalogue = Catalogue::new(draft_with(customers)).expect("valid");
    let queue = &catalogue.queues[0];
    assert_eq!(name_of(&catalogue, queue, "k1").as_deref(), Some("a"));
    assert_eq!(name_of(&catalogue, queue, "k2").as_deref(), Some("a"));
    assert_eq!(name_of(&catalogue, queue, "k3").as_deref(), Some("b"));
    assert_eq!(catalogue.authenticate(queue, None), Caller::Unknown);
    let unknown = KeyDigest::of("k4");
    assert_eq!(
        catalogue.authenticate(queue, Some(&unknown)),
        Caller::Unknown
    );
}

#[test]
fn caller_of_a_public_queue_is_anyone() {
    let mut draft = draft_with(vec![customer("a", &["k1"], 0)]);
    draft.queues[0].public = true;
    let catalogue = Catalogue::new(draft).expect("valid");
    assert_eq!(
        catalogue.authenticate(&catalogue.queues[0], None),
        Caller::Anyone
    );
    assert_eq!(
        catalogue.authenticate(&catalogue.queues[1], None),
        Caller::Unknown
    );
}

#[test]
fn caller_without_customers_is_anyone() {
    let catalogue = catalogue(1);
    assert_eq!(
        catalogue.authenticate(&catalogue.queues[0], None),
        Caller::Anyone
    );
    let none = Catalogue::new(draft_with(Vec::new())).expect("valid");
    assert_eq!(none.authenticate(&none.queues[0], None), Caller::Unknown);
}

#[test]
fn catalogue_names_each_fault_of_customers() {
    let mut heavy = customer("c", &[], 0);
    heavy.customer.weight = f64::NAN;
    let customers = vec![
        customer("a", &["k1", ""], 0),
        customer("b", &["k2", "k1"], 0),
        customer("a", &["k3"], 0),
        heavy,
    ];
    let error = Catalogue::new(draft_with(customers)).expect_err("four faults");
    assert_eq!(error.faults.len(), 4, "{error}");
    let text = error.to_string();
    for part in [
        "customer a, key 1",
        "customer b, key 1: a has it",
        "customers 2 and 0",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(text.contains("customer c: its weight is NaN"), "{text}");
}

#[test]
fn catalogue_accepts_a_customer_without_keys() {
    assert!(faults(vec![customer("a", &[], 0)]).is_empty());
    assert!(faults(vec![customer("a", &["k1", "k1"], 0)]).is_empty());
}

fn submit(state: &mut ControlState, at: u64, customer: Option<&str>) -> CommandOutcome {
    let queue = state.catalogue.as_ref().expect("configured").queues[0].clone();
    let command = Command::Submit {
        id: JobId(7),
        queue,
        customer: customer.map(Into::into),
        spec: job(vec![step(2, 100)]),
        arrived_ms: 0,
    };
    state.apply(at, command)
}

#[test]
fn apply_submit_of_another_customers_name_is_refused() {
    let mut state = ControlState::default();
    state.apply(1, Command::Configure(catalogue(1)));
    assert_eq!(submit(&mut state, 2, Some("a")), CommandOutcome::Done);
    assert_eq!(submit(&mut state, 3, Some("b")), CommandOutcome::Taken);
    assert_eq!(submit(&mut state, 4, None), CommandOutcome::Taken);
    assert_eq!(submit(&mut state, 5, Some("a")), CommandOutcome::Done);
    state.apply(6, Command::Cancel { id: JobId(7) });
    assert_eq!(
        submit(&mut state, 7, Some("b")),
        CommandOutcome::Taken,
        "over"
    );
    assert_eq!(state.customer_of(JobId(7)), Some(Some("a")));
}

#[test]
fn accepted_job_keeps_its_customer_after_the_customer_is_removed() {
    let mut state = ControlState::default();
    let keyed = Catalogue::new(draft_with(vec![customer("a", &["k1"], 0)])).expect("valid");
    state.apply(1, Command::Configure(Arc::new(keyed)));
    submit(&mut state, 2, Some("a"));
    let gone = CatalogueDraft {
        version: 2,
        ..draft_with(Vec::new())
    };
    let gone = Catalogue::new(gone).expect("valid");
    state.apply(3, Command::Configure(Arc::new(gone)));
    assert_eq!(state.job_state(JobId(7)), Some(JobState::Active));
    assert_eq!(state.customer_of(JobId(7)), Some(Some("a")));
}

#[test]
fn stopping_jobs_of_customers_are_kept_until_settled() {
    let mut state = ControlState::default();
    state.apply(1, Command::Configure(catalogue(1)));
    submit(&mut state, 2, Some("a"));
    state.apply(3, Command::Cancel { id: JobId(7) });
    let stopping = &state.stopping[&JobId(7)];
    assert_eq!((&*stopping.customer, stopping.size.cpu_milli), ("a", 200));
    let ids = vec![JobId(7)];
    state.apply(4, Command::JobsStopped { ids });
    assert!(state.stopping.is_empty());
}

#[test]
fn caller_may_use_its_own_jobs_and_jobs_without_customer() {
    let catalogue = Catalogue::new(draft_with(vec![customer("a", &["k1"], 0)])).expect("valid");
    let caller = catalogue.authenticate(&catalogue.queues[0], Some(&KeyDigest::of("k1")));
    assert!(caller.may_access(Some("a")));
    assert!(caller.may_access(None));
    assert!(!caller.may_access(Some("b")));
    assert!(!Caller::Unknown.may_access(None));
    assert!(Caller::Anyone.may_access(Some("b")));
}

#[test]
fn keys_are_shown_nowhere() {
    let key = "a-key-of-twenty-chars";
    let draft = CatalogueDraft {
        document: format!("{{\"keys\":[\"{key}\"]}}").as_str().into(),
        ..draft_with(vec![customer("a", &[key], 0)])
    };
    let twice = draft_with(vec![customer("a", &[key], 0), customer("b", &[key], 0)]);
    let error = Catalogue::new(twice).expect_err("shared");
    let catalogue = Catalogue::new(draft).expect("valid");
    let shown = format!("{catalogue:?} {error:?} {error} {}", KeyDigest::of(key));
    assert!(!shown.contains(key), "{shown}");
    let mut state = ControlState::default();
    state.apply(1, Command::Configure(Arc::new(catalogue)));
    assert!(!format!("{state:?}").contains(key));
}

proptest! {
    /// A configuration is accepted exactly if no two customers share a name or a key and
    /// no key is empty. Each key then identifies its customer.
    #[test]
    fn catalogue_accepts_customers_only_without_faults(
        lists in prop::collection::vec(
            ("[a-d]", prop::collection::vec("[k-n]{0,2}", 0..3)),
            0..5,
        ),
    ) {
        let customer_drafts = lists.iter().map(|(name, keys)| {
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            customer(name, &keys, 0)
        });
        let catalogue = Catalogue::new(draft_with(customer_drafts.collect()));
        let names: Vec<&str> = lists.iter().map(|(name, _)| name.as_str()).collect();
        let name_twice = (1..names.len()).any(|at| names[..at].contains(&names[at]));
        let key_owners: Vec<(&str, &str)> = lists
            .iter()
            .flat_map(|(name, keys)| keys.iter().map(move |key| (name.as_str(), key.as_str())))
            .collect();
        let empty = key_owners.iter().any(|(_, key)| key.is_empty());
        let shared = key_owners.iter().any(|(name, key)| {
            key_owners.iter().any(|(other, same)| same == key && other != name)
        });
        prop_assert_eq!(catalogue.is_ok(), !name_twice && !empty && !shared);
        if let Ok(catalogue) = catalogue {
            for (name, key) in key_owners {
                let found = name_of(&catalogue, &catalogue.queues[0], key);
                prop_assert_eq!(found.as_deref(), Some(name));
            }
        }
    }
}
