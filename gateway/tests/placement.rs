//! Selection of upstreams under shared prompts, bursts, overload and failures.

#[path = "support/model.rs"]
mod model;

use std::time::Duration;

use dogwoodturn::{ids::UpstreamId, units::Time};
use dogwoodturn_gateway::{
    directory::Directory,
    header_schema::{Prompt, PromptPart},
    placement::{AttemptOutcome, Homes, Placement, Selection, SelectionCriteria},
    rollout::VersionRule,
    table::EngineCapacity,
};
use indexmap::IndexMap;
use model::{at, directory, here, service};

const ENGINE: EngineCapacity = EngineCapacity { slots: 32, memory_tokens: 400_000 };

struct Selector {
    placement: Placement,
    directory: Directory,
}

impl Selector {
    fn choose(&mut self, now: Time, prompt: &Prompt, left_ms: u64) -> Selection {
        let data_centre = here();
        let service = service();
        let criteria = SelectionCriteria {
            service: &service,
            engine: Some(ENGINE),
            prompt,
            local_data_centre: &data_centre,
            latency_target: Duration::from_millis(500),
            remaining: Duration::from_millis(left_ms),
            tried: &[],
            versions: VersionRule::Any,
            homes: Homes::default(),
        };
        let live = self.directory.live(now, &service);
        self.placement.choose(now, &live, &criteria)
    }
}

fn prompt(own: u64, shared: u64, tokens: u64) -> Prompt {
    let parts = vec![
        PromptPart { id: shared, tokens: tokens / 2 },
        PromptPart { id: own, tokens: tokens - tokens / 2 },
    ];
    Prompt { input: tokens, output: 100, parts }
}

#[test]
fn choose_requests_that_share_a_part_go_to_one_idle_upstream() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b", "c", "d"]) };
    let mut chosen = Vec::new();
    for own in 0..6 {
        let now = at(own * 1000);
        let Selection::Upstream(mut ticket) =
            selector.choose(now, &prompt(own + 100, 7, 4000), 5000)
        else {
            panic!("refused");
        };
        chosen.push(ticket.upstream.clone());
        let done = now + Duration::from_millis(90);
        selector.placement.record_first_response(done, &service(), &mut ticket);
        selector.placement.record_outcome(done, &service(), &ticket, AttemptOutcome::Answered);
    }
    assert!(chosen.windows(2).all(|pair| pair[0] == pair[1]), "{chosen:?}");
}

#[test]
fn choose_burst_on_one_shared_part_spreads_over_upstreams() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b", "c", "d"]) };
    let mut counts = IndexMap::<UpstreamId, u32>::new();
    for own in 0..24 {
        if let Selection::Upstream(ticket) =
            selector.choose(at(0), &prompt(own + 100, 7, 4000), 5000)
        {
            *counts.entry(ticket.upstream).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 4, "{counts:?}");
    let (most, least) = (counts.values().max().unwrap(), counts.values().min().unwrap());
    assert!(most - least <= 3, "{counts:?}");
}

#[test]
fn choose_overload_is_refused_at_once_with_a_retry_time() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b"]) };
    let mut refused = None;
    for own in 0..100 {
        let selection = selector.choose(at(0), &prompt(own + 100, own, 8000), 5000);
        if let Selection::Refused { retry_after, .. } = selection {
            refused = Some((own, retry_after));
            break;
        }
    }
    let (admitted, retry_after) = refused.expect("no request of the overload was refused");
    assert!(admitted >= 4, "{admitted} admitted with engines idle");
    assert!(retry_after >= Duration::from_millis(100) && retry_after < Duration::from_secs(5));
}

#[test]
fn choose_long_prompt_is_not_refused_for_its_length() {
    let mut selector = Selector { placement: Placement::default(), directory: directory(&["a"]) };
    let selection = selector.choose(at(0), &prompt(1, 2, 50_000), 12_000);
    assert!(matches!(selection, Selection::Upstream(_)), "{selection:?}");
}

#[test]
fn choose_failing_upstream_is_avoided_and_tried_again_later() {
    let mut selector =
        Selector { placement: Placement::default(), directory: directory(&["a", "b"]) };
    let mut failing = None;
    for own in 0..12 {
        let now = at(own * 50);
        let Selection::Upstream(ticket) = selector.choose(now, &prompt(own + 100, 7, 400), 5000)
        else {
            panic!("refused");
        };
        let failing = failing.get_or_insert(ticket.upstream.clone());
        let is_failing = ticket.upstream == *failing;
        let outcome = if is_failing { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        selector.placement.record_outcome(now, &service(), &ticket, outcome);
    }
    let failing = failing.unwrap();
    let Selection::Upstream(ticket) = selector.choose(at(700), &prompt(1, 7, 400), 5000) else {
        panic!("refused");
    };
    assert_ne!(ticket.upstream, failing);
    selector.placement.record_outcome(at(700), &service(), &ticket, AttemptOutcome::Answered);
    let Selection::Upstream(ticket) = selector.choose(at(30_000), &prompt(2, 7, 400), 5000) else {
        panic!("refused");
    };
    assert_eq!(ticket.upstream, failing, "it is preferred for the shared part again");
}

#[test]
fn best_elsewhere_engine_without_memory_panics() {
    let mut placement = Placement::default();
    let (directory, data_centre, service) = (directory(&["a"]), here(), service());
    let prompt = prompt(1, 7, 4000);
    let criteria = SelectionCriteria {
        service: &service,
        engine: Some(EngineCapacity { slots: 8, memory_tokens: 0 }),
        prompt: &prompt,
        local_data_centre: &data_centre,
        latency_target: Duration::from_millis(500),
        remaining: Duration::from_secs(5),
        tried: &[],
        versions: VersionRule::Any,
        homes: Homes::default(),
    };
    let best = placement.best_elsewhere(at(0), &directory.live(at(0), &service), &criteria);
    assert!(best > Some(criteria.remaining), "{best:?}");
}
