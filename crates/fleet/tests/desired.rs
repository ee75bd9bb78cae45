//! The operators' file.

use glenwood_fleet::desired::Desired;

const DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

fn good() -> String {
    format!(
        "[fleet]\nmax_unavailable = 2\n[releases.r1]\npath = '/opt/r1/glenwood'\nsha256 = '{DIGEST}'\n\
         [[instance]]\nname = 'n2'\nrelease = 'r1'\nconfig = 'n2.json'\norder = 1\n\
         [[instance]]\nname = 'n1'\ngroup = 'exam'\nrelease = 'r1'\nconfig = 'n1.json'\norder = 1\n\
         [[instance]]\nname = 'n0'\nrelease = 'r1'\nconfig = 'n0.json'\norder = 2\nstopped = true\n\
         [[protect]]\ngroups = ['exam']\ndays = ['mon', 'tue']\nfrom = '06:00'\nto = '12:30'\n"
    )
}

#[test]
fn a_good_file_is_taken_in_the_order_of_changes() {
    let desired = Desired::parse(&good()).expect("good");
    let names: Vec<&str> = desired.instances.iter().map(|i| i.name.as_str()).collect();
    assert_eq!(names, ["n1", "n2", "n0"]);
    assert_eq!(desired.instance("n0").map(|i| (i.stopped, i.group.as_str())), Some((true, "all")));
    assert_eq!((desired.rules.max_unavailable, desired.rules.pause_ms), (2, 1000));
    assert!(Desired::parse("").is_ok_and(|empty| empty.instances.is_empty()));
}

#[test]
fn the_example_is_good() {
    let example = Desired::parse(include_str!("../../../deploy/fleet.toml")).expect("good");
    assert_eq!((example.instances.len(), example.protected("n1", 0, 8 * 60).is_some()), (2, true));
}

#[test]
fn protection_goes_by_group_day_and_minute() {
    let desired = Desired::parse(&good()).expect("good");
    let at = |name: &str, day: u8, hour: u16, minute: u16| {
        desired.protected(name, day, hour * 60 + minute).is_some()
    };
    assert!(at("n1", 0, 6, 0) && at("n1", 1, 12, 29));
    assert!(!at("n1", 0, 5, 59) && !at("n1", 0, 12, 30) && !at("n1", 2, 8, 0), "out of its hours and days");
    assert!(!at("n2", 0, 8, 0) && !at("none", 0, 8, 0), "another group, and none");
    let always = good().replace("days = ['mon', 'tue']\nfrom = '06:00'\nto = '12:30'\n", "");
    let always = Desired::parse(&always).expect("good");
    assert!(always.protected("n1", 6, 23 * 60 + 59).is_some());
}

#[test]
fn a_bad_file_is_refused_with_its_field_and_reason() {
    let with = |from: &str, to: &str| {
        let text = good();
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    let bad = [
        (
            with("max_unavailable = 2", "max_unavailable = 0"),
            "fleet.max_unavailable: a whole number from 1 to 1000",
        ),
        (with("max_unavailable = 2", "max_unavailable = 4"), "fleet.max_unavailable: 4 of 3 instances"),
        (with("max_unavailable = 2", "max_out = 2"), "fleet.max_out: no such field"),
        (
            with("path = '/opt/r1/glenwood'", "path = 'glenwood'"),
            "releases.r1.path: a path that begins with /",
        ),
        (with("path = '/opt/r1/glenwood'\n", ""), "releases.r1.path: needed, a path that begins with /"),
        (with(DIGEST, "e3b0"), "releases.r1.sha256: 64 hex digits in lower case expected"),
        (with(DIGEST, &DIGEST.to_uppercase()), "releases.r1.sha256: 64 hex digits in lower case expected"),
        (with("name = 'n1'", "name = 'n2'"), "instance[1].name: \"n2\" is there twice"),
        (
            with("name = 'n2'", "name = '../n2'"),
            "instance[0].name: 1 to 64 of a to z, 0 to 9, - and _ expected",
        ),
        (with("name = 'n2'\n", ""), "instance[0].name: needed"),
        (
            with("release = 'r1'\nconfig = 'n2", "release = 'r9'\nconfig = 'n2"),
            "instance[0].release: there is no release \"r9\"",
        ),
        (with("config = 'n0.json'\n", ""), "instance[2].config: needed, the path of a file"),
        (with("stopped = true", "stopped = 1"), "instance[2].stopped: true or false expected, not 1"),
        (with("groups = ['exam']", "groups = ['exams']"), "protect[0].groups: there is no group \"exams\""),
        (with("groups = ['exam']", "names = ['n7']"), "protect[0].names: there is no instance \"n7\""),
        (with("groups = ['exam']\n", ""), "protect[0].names: names or groups are needed"),
        (with("'mon', ", "'monday', "), "protect[0].days: mon, tue, ... or sun expected, not \"monday\""),
        (with("to = '12:30'", "to = '05:00'"), "protect[0].to: later than from expected"),
        (with("to = '12:30'", "to = '12:60'"), "protect[0].to: a time of day"),
        (with("[fleet]", "[flot]"), "flot: no such field"),
        (with("[[instance]]", "[instance]"), "line "),
    ];
    for (text, words) in bad {
        let error = Desired::parse(&text).expect_err(words);
        assert!(error.starts_with(words) && !error.contains('\n'), "{words}: {error}");
    }
}
