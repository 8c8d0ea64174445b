//! The engine model without I/O: tokens, caching, resumption, KV cache transfer and refusals.

use dogwoodturn::units::Time;
use dogwoodturn_standins::engine::model::{EngineConfig, EngineModel, Output, Refusal, Submission};

fn submission(id: &str, prompt: &str, offset: u64, max_tokens: u64) -> Submission {
    Submission {
        id: id.into(),
        prompt: prompt.into(),
        resumed_text: String::new(),
        offset,
        max_tokens,
        priority: 0,
        deadline: None,
        slowdown: 1.0,
    }
}

fn run(engine: &mut EngineModel) -> Vec<(String, Output)> {
    let mut out = Vec::new();
    while let Some(at) = engine.next_step() {
        engine.step(at, &mut out);
    }
    out
}

fn usage_of(out: &[(String, Output)], id: &str) -> dogwoodturn_standins::engine::wire::Usage {
    let done = out.iter().find_map(|(name, output)| match output {
        Output::Done(usage) if name == id => Some(*usage),
        _ => None,
    });
    done.expect("the request is done")
}

fn words(count: usize) -> String {
    let words: Vec<String> = (0..count).map(|index| format!("w{index}")).collect();
    words.join(" ") + " "
}

#[test]
fn step_gives_each_token_once_in_order() {
    let mut engine = EngineModel::new(EngineConfig::default());
    engine.submit(Time(0), submission("a", "one two", 3, 8)).expect("accepted");
    let out = run(&mut engine);
    let tokens: Vec<u64> = out
        .iter()
        .filter_map(|(_, output)| match output {
            Output::Token(index) => Some(*index),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, [3, 4, 5, 6, 7]);
    assert_eq!(usage_of(&out, "a").generated_tokens, 5);
}

#[test]
fn submit_same_prefix_is_cached() {
    let mut engine = EngineModel::new(EngineConfig::default());
    let prompt = words(64);
    engine.submit(Time(0), submission("a", &prompt, 0, 2)).expect("accepted");
    assert_eq!(usage_of(&run(&mut engine), "a").computed_tokens, 64);
    let longer = format!("{prompt}and more");
    engine.submit(Time(0), submission("b", &longer, 0, 2)).expect("accepted");
    let usage = usage_of(&run(&mut engine), "b");
    assert_eq!((usage.cached_tokens, usage.computed_tokens), (64, 2));
}

#[test]
fn import_spares_the_resumed_tokens() {
    let mut first = EngineModel::new(EngineConfig::default());
    let mut second = EngineModel::new(EngineConfig::default());
    let prompt = words(160);
    first.submit(Time(0), submission("a", &prompt, 0, 1)).expect("accepted");
    run(&mut first);
    let blob = first.export("a").expect("the request has recently ended");
    assert!(second.import(&blob));
    second.submit(Time(0), submission("a", &prompt, 1, 4)).expect("accepted");
    assert!(usage_of(&run(&mut second), "a").computed_tokens <= 16);
}

#[test]
fn submit_urgent_requests_go_first() {
    let cfg = EngineConfig { max_batch: 1, ..EngineConfig::default() };
    let mut engine = EngineModel::new(cfg);
    engine.submit(Time(0), submission("running", "x", 0, 2)).expect("accepted");
    let late = Submission { priority: 5, ..submission("late", "x", 0, 1) };
    engine.submit(Time(0), late).expect("accepted");
    engine.submit(Time(0), submission("urgent", "x", 0, 1)).expect("accepted");
    let out = run(&mut engine);
    let done: Vec<&str> = out
        .iter()
        .filter(|(_, output)| matches!(output, Output::Done(_)))
        .map(|(id, _)| id.as_str())
        .collect();
    assert_eq!(done, ["running", "urgent", "late"]);
}

#[test]
fn submit_beyond_the_queue_is_refused() {
    let cfg = EngineConfig { max_batch: 1, max_waiting: 1, ..EngineConfig::default() };
    let mut engine = EngineModel::new(cfg);
    engine.submit(Time(0), submission("a", "x", 0, 9)).expect("runs");
    engine.submit(Time(0), submission("b", "x", 0, 9)).expect("waits");
    assert_eq!(engine.submit(Time(0), submission("c", "x", 0, 9)), Err(Refusal::Busy));
    engine.cancel("b");
    assert_eq!(engine.submit(Time(0), submission("c", "x", 0, 9)), Ok(()));
    assert_eq!(engine.submit(Time(0), submission("c", "x", 0, 9)), Err(Refusal::Busy));
}

#[test]
fn step_overdue_requests_are_dropped() {
    let mut engine = EngineModel::new(EngineConfig::default());
    let overdue = Submission { deadline: Some(Time(1)), ..submission("a", "x", 0, 1000) };
    engine.submit(Time(0), overdue).expect("accepted");
    assert_eq!(run(&mut engine), [("a".to_owned(), Output::Overdue)]);
    assert_eq!(engine.running(), 0);
}
