//! The split of a fleet into groups: bounded group size, and enough engines for the hosts of each group.

use std::collections;

use walnuthaven_lib::host_groups;

/// Returns the number of names in each group.
fn sizes(groups: host_groups::Groups, names: impl Iterator<Item = String>) -> Vec<usize> {
    let mut sizes = collections::BTreeMap::new();
    for name in names {
        *sizes.entry(groups.group(&name)).or_insert(0) += 1;
    }
    assert!(sizes.keys().all(|group| *group < groups.count()));
    (0..groups.count())
        .map(|group| sizes.get(&group).copied().unwrap_or(0))
        .collect()
}

#[test]
fn a_small_fleet_is_one_group() {
    for hosts in [1, 6, 70, host_groups::MAX_HOSTS] {
        assert_eq!(host_groups::Groups::of(hosts).count(), 1, "{hosts}");
    }
}

#[test]
fn group_sizes_stay_bounded_as_the_fleet_grows() {
    for hosts in [100, 300, 2_000, 20_000] {
        let groups = host_groups::Groups::of(hosts);
        let sizes = sizes(groups, (0..hosts).map(|i| format!("front-hall-{i}")));
        let largest = sizes.iter().max().unwrap();
        assert!(
            *largest <= host_groups::MAX_HOSTS * 3 / 2,
            "{hosts}: {sizes:?}"
        );
    }
}

#[test]
fn each_group_has_engines_for_its_hosts() {
    let groups = host_groups::Groups::of(2_000);
    let hosts = sizes(groups, (0..2_000).map(|i| format!("host-{i}")));
    let engines = sizes(groups, (0..10_000).map(|i| format!("i-{i:08x}")));
    for (hosts, engines) in hosts.iter().zip(&engines) {
        let engines_per_host = *engines as f64 / *hosts as f64;
        assert!(
            (2.5..10.0).contains(&engines_per_host),
            "{engines} engines for {hosts} hosts"
        );
    }
}

#[test]
fn a_split_moves_nothing_between_other_groups() {
    let (old, new) = (host_groups::Groups::of(190), host_groups::Groups::of(200));
    assert_eq!((old.count(), new.count()), (2, 4));
    for i in 0..200 {
        let name = format!("host-{i}");
        assert_eq!(new.group(&name) % old.count(), old.group(&name));
    }
}
