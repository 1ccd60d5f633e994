//! Replies to batches, and errors for malformed input.

use super::Adapter;

fn run(input: &str) -> Result<String, String> {
    let mut output = Vec::new();
    let result = Adapter::default().run(input.as_bytes(), &mut output);
    result.map(|()| String::from_utf8(output).expect("text")).map_err(|error| format!("{error:#}"))
}

#[test]
fn an_empty_batch_is_answered_and_input_may_end_between_batches() {
    assert_eq!(run("SYNC now_ms=1.5 seq=9\nEOF_BATCH\n"), Ok("READY seq=9\n".into()));
    assert_eq!(run(""), Ok(String::new()));
}

#[test]
fn malformed_input_is_reported_with_its_line_and_reason() {
    for (input, error) in [
        ("SYNC now_ms=soon seq=1\n", "line 1: now_ms=soon is not a valid number"),
        ("SYNC seq=1\n", "line 1: SYNC is missing field now_ms"),
        ("EOF_BATCH\n", "line 1: EOF_BATCH outside a batch"),
        ("SYNC now_ms=1 seq=1\nFIRED label=1\n", "line 2: FIRED before the first ABOUT"),
        ("SYNC now_ms=1 seq=1\nABOUT who=2\n", "line 3: input ended inside a batch"),
        (
            "SYNC now_ms=1 seq=1\nABOUT who=2\nFIRED label=1\n",
            "line 3: FIRED for instance 2, which is not running",
        ),
    ] {
        assert_eq!(run(input), Err(error.into()), "{input}");
    }
}
