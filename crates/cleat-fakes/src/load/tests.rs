//! Judging answers.

use http::HeaderMap;

use super::check::judge;
use super::report::Verdict;

fn verdict(headers: &[(&'static str, &'static str)], body: &str) -> Verdict {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().expect("a header value"));
    }
    judge(&map, body.as_bytes(), "id-1", 6)
}

#[test]
fn judge_own_answer() {
    let own = ("request-id", "id-1");
    let answered = ("celerycleat-outcome", "answered");
    assert_eq!(verdict(&[own], "id-1.."), Verdict::Whole);
    assert_eq!(verdict(&[own, answered], "id-1.."), Verdict::Whole);
    assert_eq!(verdict(&[answered], "id-1.."), Verdict::Faulty);
    let other = ("request-id", "id-2");
    assert_eq!(verdict(&[other, answered], "id-1.."), Verdict::Faulty);
    assert_eq!(verdict(&[own], "id-2.."), Verdict::Faulty);
    assert_eq!(verdict(&[own], "id-1."), Verdict::Faulty);
}

#[test]
fn judge_refusal() {
    let not_run = ("celerycleat-outcome", "not-run");
    let later = ("retry-after", "1");
    assert_eq!(verdict(&[not_run, later], "{}"), Verdict::Whole);
    assert_eq!(verdict(&[not_run], "{}"), Verdict::Faulty);
    let unknown = ("celerycleat-outcome", "unknown");
    assert_eq!(verdict(&[unknown], "{}"), Verdict::Whole);
    let odd = ("celerycleat-outcome", "odd");
    assert_eq!(verdict(&[odd], "{}"), Verdict::Faulty);
}
