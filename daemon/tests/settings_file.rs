//! The settings file: each fault is reported in one line that names file, section and key.

use walnuthaven_daemon::settings;
use walnuthaven_lib::auth;

const SEED: u64 = 8;
const VALID: &str = "[host]\nname = h1\nzone = z1\n[platform]\nurl = http://127.0.0.1:1\n\
                    [fleet]\nkey = 0123456789abcdef\n";

fn fault(text: &str) -> String {
    settings::parse("f.ini", text).expect_err(text).to_string()
}

#[test]
fn optional_keys_have_defaults() {
    let settings = settings::parse("f.ini", VALID).unwrap();
    assert_eq!(&*settings.name, "h1");
    assert_eq!(settings.drain_timeout_s, 120);
    assert_eq!(settings.api_addr.port(), 7_400);
}

#[test]
fn sizes_and_durations_have_units() {
    let text = format!("{VALID}[limits]\nbody = 64kB\nheader_time = 500ms\nstall_time = 2min\n");
    let settings = settings::parse("f.ini", &text).unwrap();
    assert_eq!(settings.limits.max_body_bytes, 64_000);
    assert_eq!(settings.limits.header_timeout_ms, 500);
    assert_eq!(settings.limits.stall_timeout_ms, 120_000);
}

#[test]
fn faults_name_file_section_key_and_value() {
    for (extra, expected) in [
        (
            "[colour]\nx = 1\n",
            "f.ini: section [colour]: unknown section",
        ),
        (
            "[log]\nlevle = info\n",
            "section [log], key \"levle\": unknown key",
        ),
        (
            "[log]\nlevel = loud\n",
            "key \"level\": \"loud\" is not off, error",
        ),
        (
            "[log]\nlevel = info\nlevel = warn\n",
            "section [log], key \"level\": appears twice",
        ),
        (
            "[log]\n[metrics]\n[log]\nlevel = info\n",
            "section [log]: appears twice",
        ),
        (
            "[limits]\nbody = 64\n",
            "key \"body\": \"64\" is not a size with unit",
        ),
        (
            "[limits]\nheader_time = 5h\n",
            "key \"header_time\": \"5h\" is not a duration",
        ),
        (
            "[limits]\nconnections = 0\n",
            "key \"connections\": 0 is outside 1 to",
        ),
        (
            "[listen]\napi = localhost:1\n",
            "key \"api\": \"localhost:1\" is not an IP address",
        ),
        (
            "[metrics]\nstatsd = here\n",
            "key \"statsd\": \"here\" is not an IP address",
        ),
        (
            "[policy]\nscheduler = best\n",
            "key \"scheduler\": \"best\" is neither",
        ),
        (
            "[operator.anna]\nrole = king\n",
            "section [operator.anna], key \"role\": \"king\"",
        ),
        (
            "[operator.anna]\nrole = view\n",
            "section [operator.anna], key \"salt\": is missing",
        ),
    ] {
        let text = fault(&format!("{VALID}{extra}"));
        assert!(text.contains(expected), "{extra:?}: {text}");
        assert_eq!(text.lines().count(), 1);
    }
    for (from, to, expected) in [
        (
            "name = h1",
            "name = H1",
            "section [host], key \"name\": \"H1\" is not a name",
        ),
        ("zone = z1", "", "section [host], key \"zone\": is missing"),
        (
            "http://127",
            "https://127",
            "section [platform], key \"url\"",
        ),
        (
            "0123456789abcdef",
            "short",
            "section [fleet], key \"key\": is shorter",
        ),
    ] {
        let text = fault(&VALID.replace(from, to));
        assert!(text.contains(expected), "{to:?}: {text}");
        assert!(
            !text.contains("short\""),
            "the fault shows the secret: {text}"
        );
    }
}

#[test]
fn debug_output_hides_secrets() {
    let token = auth::HashedKey::new("anna", "5a17", "operator-secret");
    let text = format!(
        "{VALID}[operator.anna]\nrole = change\nsalt = {}\nsha256 = {}\n",
        token.salt, token.sha256
    );
    let settings = settings::parse("f.ini", &text).unwrap();
    let shown = format!("{settings:?}");
    assert!(!shown.contains("0123456789abcdef"), "{shown}");
    assert!(settings.operators[0].may_change);
}

#[test]
fn arbitrary_input_does_not_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let text = String::from_utf8_lossy(&bytes);
        // Text alone is refused, since required keys are missing.
        let refused = settings::parse("f.ini", &text).is_err();
        // A valid file with arbitrary text appended is accepted or refused, without a panic.
        let _ = settings::parse("f.ini", &format!("{VALID}{text}"));
        refused
    }
    println!("seed {SEED}");
    quickcheck::QuickCheck::new()
        .tests(2_000)
        .rng(quickcheck::Gen::from_size_and_seed(80, SEED))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
