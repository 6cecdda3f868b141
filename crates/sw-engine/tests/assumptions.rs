//! The assumptions of the engine model, as listed in the documentation of the crate.

use sw_engine::{Engine, Job, JobId, Options, OutputToken};
use sw_unit::{Time, Tokens};

fn job(id: u64, prompt: u64, output: u64) -> Job {
    let blocks = (0..prompt / 256).collect();
    Job {
        id: JobId(id),
        blocks,
        prompt: Tokens(prompt),
        output: Tokens(output),
        priority: 0,
    }
}

fn run(engine: &mut Engine) -> Vec<OutputToken> {
    let mut out = Vec::new();
    while let Some(at) = engine.next_event() {
        engine.advance(at, &mut out);
    }
    out
}

fn first(out: &[OutputToken], id: u64) -> Time {
    out.iter().find(|emission| emission.job == JobId(id)).unwrap().at
}

fn last(out: &[OutputToken], id: u64) -> Time {
    out.iter().rfind(|emission| emission.job == JobId(id)).unwrap().at
}

#[test]
fn prefill_takes_time_except_for_cached_prompts() {
    let mut engine = Engine::new(Options::default());
    engine.submit(job(1, 2_048, 2), Time(0));
    let out = run(&mut engine);
    assert_eq!(
        (first(&out, 1), last(&out, 1)),
        (Time(276), Time(296)),
        "2,048 tokens at 8,000 a second and a step of 20 ms"
    );
    engine.submit(job(2, 2_048, 1), Time(1_000));
    assert_eq!(first(&run(&mut engine), 2), Time(1_020));
}

#[test]
fn inter_token_time_grows_with_the_batch() {
    let mut engine = Engine::new(Options::default());
    (0..16).for_each(|id| engine.submit(job(id, 0, 11), Time(0)));
    let out = run(&mut engine);
    let gap = (last(&out, 0).0 - first(&out, 0).0) / 10;
    assert_eq!(gap, 40, "twice the time of a single request");
}

#[test]
fn requests_beyond_the_slots_are_queued_by_priority() {
    let mut engine = Engine::new(Options {
        slots: 1,
        ..Options::default()
    });
    engine.submit(job(1, 0, 5), Time(0));
    engine.submit(job(2, 0, 5), Time(0));
    engine.submit(
        Job {
            priority: 1,
            ..job(3, 0, 5)
        },
        Time(0),
    );
    assert_eq!(engine.load(), (1, 2));
    let out = run(&mut engine);
    assert!(last(&out, 1) < first(&out, 3) && last(&out, 3) < first(&out, 2));
}

#[test]
fn prefill_delays_running_requests() {
    let mut engine = Engine::new(Options::default());
    engine.submit(job(1, 0, 50), Time(0));
    engine.submit(job(2, 8_000, 1), Time(0));
    let out = run(&mut engine);
    assert!(
        last(&out, 1).0 > 50 * 20 + 900,
        "a second of prefill delays the tokens in between: {}",
        last(&out, 1)
    );
}

#[test]
fn cache_evicts_the_least_recently_used_blocks() {
    let mut engine = Engine::new(Options {
        cache_blocks: 8,
        ..Options::default()
    });
    engine.submit(job(1, 2_048, 1), Time(0));
    run(&mut engine);
    engine.submit(
        Job {
            blocks: (100..104).collect(),
            ..job(2, 1_024, 1)
        },
        Time(1_000),
    );
    run(&mut engine);
    assert_eq!(engine.take_evicted(), [0, 1, 2, 3]);
    assert!(engine.take_evicted().is_empty());
}

#[test]
fn cancelled_request_generates_no_more_tokens() {
    let mut engine = Engine::new(Options::default());
    engine.submit(job(1, 0, 100), Time(0));
    let mut out = Vec::new();
    engine.advance(Time(100), &mut out);
    engine.cancel(JobId(1));
    let generated = out.len();
    engine.advance(Time(5_000), &mut out);
    assert!(generated > 0 && out.len() == generated, "{generated} and {}", out.len());
    assert_eq!(engine.load(), (0, 0));
}
