//! Which host serves a request in place of one that reaches no server.

use walnuthaven_lib::peer_choice;

fn candidate(name: &str, zone: &str, outstanding: u32) -> peer_choice::Candidate {
    peer_choice::Candidate {
        name: name.into(),
        zone: zone.into(),
        outstanding,
    }
}

/// Returns how often each candidate is chosen in a hundred draws.
fn shares(candidates: &[peer_choice::Candidate]) -> Vec<usize> {
    let mut shares = vec![0; candidates.len()];
    for draw in 0..100 {
        let random = f64::from(draw) / 100.0;
        let chosen = peer_choice::choose(candidates, "z1", random).unwrap();
        let at = candidates.iter().position(|c| c == chosen).unwrap();
        shares[at] += 1;
    }
    shares
}

#[test]
fn no_host_is_chosen_of_none() {
    assert_eq!(peer_choice::choose(&[], "z1", 0.5), None);
}

#[test]
fn every_host_gets_a_share_and_those_of_the_zone_more() {
    let shares = shares(&[
        candidate("a", "z1", 0),
        candidate("b", "z2", 0),
        candidate("c", "z3", 0),
    ]);
    assert_eq!(shares, [50, 25, 25]);
}

#[test]
fn host_with_many_requests_gets_fewer() {
    let shares = shares(&[candidate("a", "z1", 9), candidate("b", "z1", 0)]);
    assert!(shares[0] < 12, "{shares:?}");
}
