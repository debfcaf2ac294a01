//! The table of the HTTP API: calls are looked up by method and whole path.

use beechcroft_transport::calls::ApiCall;

#[test]
fn calls_match_by_method_and_whole_path() {
    let heartbeat = ApiCall::Heartbeat("i-1".into());
    assert_eq!(
        ApiCall::parse("POST", "/units/i-1/heartbeat"),
        Some(heartbeat)
    );
    assert_eq!(ApiCall::parse("GET", "/units/i-1/heartbeat"), None);
    assert_eq!(ApiCall::parse("POST", "/evacuation/a/b/begin"), None);
    assert_eq!(ApiCall::parse("GET", "/config/show/"), None);
}
