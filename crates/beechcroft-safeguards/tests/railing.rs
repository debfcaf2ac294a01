use beechcroft_safeguards::{stands, without, Guard};

#[test]
fn a_guard_is_out_on_one_thread_and_only_as_long_as_it_is_held_out() {
    let out = without(Some(Guard::FencedPromises));
    assert!(!stands(Guard::FencedPromises) && stands(Guard::FencedAcceptances));
    assert!(std::thread::spawn(|| stands(Guard::FencedPromises))
        .join()
        .unwrap());
    drop(out);
    assert!(stands(Guard::FencedPromises));
}
