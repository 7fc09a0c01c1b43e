//! Tests of the decision digest: equal for equal seeds, different for different decisions.

use linenhill_lab::decision_digest::digest;

// Guards against a digest that depends on more than its seed, which would make revisions incomparable.
#[test]
fn a_seed_has_one_digest() {
    assert_eq!(digest(7), digest(7));
}

// Guards against digests that distinguish nothing: identical histories, or actions that are not encoded.
#[test]
fn seeds_have_different_digests() {
    let digests: Vec<_> = (0..8).map(digest).collect();
    assert!(digests.iter().all(|digest| digest.records > 1_000 && digest.bytes > 10 * digest.records));
    let checksums: std::collections::BTreeSet<u32> = digests.iter().map(|digest| digest.checksum).collect();
    assert_eq!(checksums.len(), digests.len());
}
