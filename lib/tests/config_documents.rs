//! Configuration documents: validation, generations, cells and callers' keys.

use walnuthaven_lib::auth;
use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::validate;

const SEED: u64 = 31;

fn document(text: &str) -> config::Workspace {
    serde_json::from_str(text).unwrap()
}

#[test]
fn lists_every_fault_with_its_path() {
    let text = r#"{
        "workspace": "Hammam", "share": 0,
        "keys": [{ "name": "k", "salt": "", "sha256": "12" }],
        "sites": [{ "name": "s", "zone": "jabal" }, { "name": "s", "zone": "marka" }],
        "pools": [{ "name": "main", "model": "m" }],
        "services": [
            { "name": "summary", "kind": "model", "pool": "other", "first_token_ms": 0 },
            { "name": "bare", "kind": "model" },
            { "name": "gate", "kind": "plain", "pool": "main" }
        ],
        "backends": [
            { "name": "a", "addr": "localhost:1", "zone": "abdali", "pool": "main" },
            { "name": "b", "addr": "127.0.0.1:1", "zone": "jabal", "service": "summary" },
            { "name": "c", "addr": "127.0.0.1:1", "zone": "jabal" }
        ]
    }"#;
    let report = validate::check(&document(text));
    let mut paths: Vec<&str> = report.faults.iter().map(|f| f.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(
        paths,
        [
            "backends[0].addr",
            "backends[0].role",
            "backends[0].zone",
            "backends[1].service",
            "backends[2]",
            "backends[2].addr",
            "keys[0]",
            "services[0].first_token_ms",
            "services[0].pool",
            "services[1].pool",
            "services[2].pool",
            "share",
            "sites[1].name",
            "workspace",
        ]
    );
}

#[test]
fn warns_about_probable_mistakes() {
    let text = r#"{
        "workspace": "w",
        "pools": [{ "name": "main", "model": "m" }],
        "services": [
            { "name": "s", "kind": "model", "pool": "main", "first_token_ms": 5 },
            { "name": "gate", "kind": "plain" }
        ],
        "backends": [{ "name": "a", "addr": "127.0.0.1:1", "zone": "z", "pool": "main",
                       "role": "prefill", "link_mb_s": 100 }]
    }"#;
    let report = validate::check(&document(text));
    assert_eq!(report.faults, []);
    let paths: Vec<&str> = report.warnings.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            "keys",
            "pools[0]",
            "services[0].first_token_ms",
            "services[1]"
        ]
    );
}

#[test]
fn reports_unknown_fields_by_name() {
    let report = validate::parse(r#"{ "workspace": "w", "colour": 1 }"#).unwrap_err();
    assert!(
        report.faults[0].message.contains("colour"),
        "{:?}",
        report.faults
    );
}

#[test]
fn active_generation_never_decreases() {
    fn property(offers: Vec<u8>) -> bool {
        let mut active = config_versions::ActiveDocuments::default();
        let mut highest = 0;
        for generation in offers.into_iter().map(u64::from) {
            let mut stored = config_versions::Stored::successor(
                None,
                document(r#"{ "workspace": "w" }"#),
                "c",
                "operator",
                0,
            );
            stored.generation = generation;
            let replaced = active.replace_if_newer(stored);
            let current = active.get("w").map_or(0, |stored| stored.generation);
            if replaced != (current > highest || highest == 0 && replaced) || current < highest {
                return false;
            }
            highest = current;
        }
        true
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(50, SEED))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn engines_of_each_role_are_spread_over_cells() {
    let backends: Vec<serde_json::Value> = (0..70)
        .map(|at| {
            serde_json::json!({
                "name": format!("e{at}"), "addr": format!("127.0.0.1:{}", at + 1), "zone": "z",
                "pool": "main", "role": if at < 20 { "prefill" } else { "decode" },
            })
        })
        .collect();
    let document = serde_json::json!({
        "workspace": "w", "pools": [{ "name": "main", "model": "m" }], "backends": backends,
    });
    let cells = document_from(document).cells("main");
    assert_eq!(cells.len(), 3);
    assert_eq!(
        cells.iter().map(|cell| cell.engines.len()).sum::<usize>(),
        70
    );
    for cell in cells {
        let prefill = |spec: &&walnuthaven_lib::engines::Spec| {
            spec.role == walnuthaven_lib::engines::Role::Prefill
        };
        let prefill = cell.engines.iter().filter(prefill).count();
        assert!((6..=7).contains(&prefill), "{prefill}");
        assert!(cell.engines.len() <= config::MAX_ENGINES_PER_CELL);
    }
}

fn document_from(value: serde_json::Value) -> config::Workspace {
    serde_json::from_value(value).unwrap()
}

#[test]
fn keys_match_only_themselves() {
    let key = auth::HashedKey::new("door", "5a17", "secret-one");
    assert!(key.is_well_formed());
    assert!(key.matches("secret-one"));
    for other in ["", "secret-on", "secret-one ", "Secret-one"] {
        assert!(!key.matches(other), "{other:?}");
    }
    let salted = auth::HashedKey::new("door", "5a18", "secret-one");
    assert_ne!(key.sha256, salted.sha256);
}

#[test]
fn parsers_do_not_panic_on_any_input() {
    fn property(bytes: Vec<u8>) -> bool {
        let text = String::from_utf8_lossy(&bytes);
        let _ = validate::parse(&text);
        let id = text.parse::<walnuthaven_lib::ids::RequestId>();
        id.is_err() || id.map(|id| id.to_string()).as_deref() == Ok(&*text)
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .rng(quickcheck::Gen::from_size_and_seed(60, SEED))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
