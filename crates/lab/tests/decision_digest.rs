//! The digest of decisions: the same for the same seed, another one for other decisions.

use linenhill_lab::decision_digest::digest;

// Guards against a digest that depends on more than its seed: two revisions could not be compared then.
#[test]
fn a_seed_has_one_digest() {
    assert_eq!(digest(7), digest(7));
}

// Guards against a digest that says nothing: histories that are alike, or whose actions are not encoded.
#[test]
fn seeds_have_different_digests() {
    let digests: Vec<_> = (0..8).map(digest).collect();
    assert!(digests.iter().all(|digest| digest.records > 1_000 && digest.bytes > 10 * digest.records));
    let checksums: std::collections::BTreeSet<u32> = digests.iter().map(|digest| digest.checksum).collect();
    assert_eq!(checksums.len(), digests.len());
}
