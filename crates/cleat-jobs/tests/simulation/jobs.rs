//! The jobs, queues and customers of a simulated schedule.

use cleat_jobs::{
    Cap, Catalogue, CatalogueDraft, Customer, CustomerDraft, JobId, JobSpec, Pool, Queue, Size,
    StepSpec,
};
use rand::RngExt;
use rand::rngs::StdRng;

use super::world::{CAPS, MAX_ATTEMPTS};

/// The customer that a job belongs to.
pub(super) fn customer_of(id: JobId) -> Box<str> {
    format!("customer{}", id.0 % CAPS.len() as u64).into()
}

/// `enforces_capacity` tells whether workers refuse starts beyond their capacity.
pub(super) fn catalogue(version: u64, caps: &[u64], enforces_capacity: bool) -> Catalogue {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        prefix: "/queue/".into(),
        pool: "pool".into(),
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        stretch: 1.5,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        public: false,
        advice: None,
    };
    let pool = Pool {
        name: "pool".into(),
        enforces_capacity,
        spare: false,
        health_path: "/health".into(),
    };
    let customer = |(at, cap): (usize, &u64)| {
        let cpu_milli = *cap;
        let customer = Customer {
            name: customer_of(JobId(at as u64)),
            keys: Vec::new(),
            weight: 1.0,
            cap: Cap(Size {
                cpu_milli,
                ..Size::default()
            }),
        };
        CustomerDraft::new(customer, &[])
    };
    let draft = CatalogueDraft {
        version,
        queues: vec![queue],
        pools: vec![pool],
        customers: Some(caps.iter().enumerate().map(customer).collect()),
        document: "{}".into(),
    };
    Catalogue::new(draft).expect("a valid catalogue")
}

pub(super) fn spec(rng: &mut StdRng, is_long_running: bool, speculative: bool) -> JobSpec {
    let steps = (0..rng.random_range(1..4u16)).map(|step| StepSpec {
        count: rng.random_range(1..6),
        size: Size {
            cpu_milli: rng.random_range(500..3_000),
            memory_mb: rng.random_range(100..2_000),
            gpu: 0,
        },
        estimate_ms: 500,
        after: if step > 0 && !is_long_running {
            vec![step - 1]
        } else {
            Vec::new()
        },
        long_running: is_long_running,
        speculative,
        ..StepSpec::default()
    });
    JobSpec {
        specification: "".into(),
        steps: steps.collect(),
        repeat: None,
    }
}
