//! Tests of parsing and validating the operators' file.

use glenwood_fleet::desired::Desired;

const DIGEST: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

fn valid_file() -> String {
    format!(
        "[fleet]\nmax_unavailable = 2\n[releases.r1]\npath = '/opt/r1/glenwood'\nsha256 = '{DIGEST}'\n\
         [[instance]]\nname = 'n2'\nrelease = 'r1'\nconfig = 'n2.json'\norder = 1\n\
         [[instance]]\nname = 'n1'\ngroup = 'exam'\nrelease = 'r1'\nconfig = 'n1.json'\norder = 1\n\
         [[instance]]\nname = 'n0'\nrelease = 'r1'\nconfig = 'n0.json'\norder = 2\nstopped = true\n\
         [[protect]]\ngroups = ['exam']\ndays = ['mon', 'tue']\nfrom = '06:00'\nto = '12:30'\n"
    )
}

#[test]
fn a_valid_file_is_parsed_and_instances_are_sorted_in_change_order() {
    let desired = Desired::parse(&valid_file()).expect("a valid file");
    let names: Vec<&str> = desired.instances.iter().map(|i| i.name.as_str()).collect();
    assert_eq!(names, ["n1", "n2", "n0"]);
    assert_eq!(desired.instance("n0").map(|i| (i.stopped, i.group.as_str())), Some((true, "all")));
    assert_eq!((desired.rules.max_unavailable, desired.rules.pause_ms), (2, 1000));
    assert!(Desired::parse("").is_ok_and(|empty| empty.instances.is_empty()));
}

#[test]
fn the_example_file_is_valid() {
    let example = Desired::parse(include_str!("../../../deploy/fleet.toml")).expect("a valid file");
    assert_eq!((example.instances.len(), example.protected("n1", 0, 8 * 60).is_some()), (2, true));
}

#[test]
fn protection_applies_by_group_day_and_minute() {
    let desired = Desired::parse(&valid_file()).expect("a valid file");
    let is_protected = |name: &str, day: u8, hour: u16, minute: u16| {
        desired.protected(name, day, hour * 60 + minute).is_some()
    };
    assert!(is_protected("n1", 0, 6, 0) && is_protected("n1", 1, 12, 29));
    assert!(
        !is_protected("n1", 0, 5, 59) && !is_protected("n1", 0, 12, 30) && !is_protected("n1", 2, 8, 0),
        "outside of the protected hours and days"
    );
    assert!(
        !is_protected("n2", 0, 8, 0) && !is_protected("none", 0, 8, 0),
        "an instance of another group, and an unknown one"
    );
    let always = valid_file().replace("days = ['mon', 'tue']\nfrom = '06:00'\nto = '12:30'\n", "");
    let always = Desired::parse(&always).expect("a valid file");
    assert!(always.protected("n1", 6, 23 * 60 + 59).is_some());
}

#[test]
fn an_invalid_file_is_rejected_with_the_field_and_the_reason() {
    let with_edit = |from: &str, to: &str| {
        let text = valid_file();
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    };
    let cases = [
        (
            with_edit("max_unavailable = 2", "max_unavailable = 0"),
            "fleet.max_unavailable: a whole number from 1 to 1000",
        ),
        (with_edit("max_unavailable = 2", "max_unavailable = 4"), "fleet.max_unavailable: 4 of 3 instances"),
        (with_edit("max_unavailable = 2", "max_out = 2"), "fleet.max_out: no such field"),
        (
            with_edit("path = '/opt/r1/glenwood'", "path = 'glenwood'"),
            "releases.r1.path: a path that begins with /",
        ),
        (with_edit("path = '/opt/r1/glenwood'\n", ""), "releases.r1.path: needed, a path that begins with /"),
        (with_edit(DIGEST, "e3b0"), "releases.r1.sha256: 64 hex digits in lower case expected"),
        (
            with_edit(DIGEST, &DIGEST.to_uppercase()),
            "releases.r1.sha256: 64 hex digits in lower case expected",
        ),
        (with_edit("name = 'n1'", "name = 'n2'"), "instance[1].name: \"n2\" is there twice"),
        (
            with_edit("name = 'n2'", "name = '../n2'"),
            "instance[0].name: 1 to 64 of a to z, 0 to 9, - and _ expected",
        ),
        (with_edit("name = 'n2'\n", ""), "instance[0].name: needed"),
        (
            with_edit("release = 'r1'\nconfig = 'n2", "release = 'r9'\nconfig = 'n2"),
            "instance[0].release: there is no release \"r9\"",
        ),
        (with_edit("config = 'n0.json'\n", ""), "instance[2].config: needed, the path of a file"),
        (with_edit("stopped = true", "stopped = 1"), "instance[2].stopped: true or false expected, not 1"),
        (
            with_edit("groups = ['exam']", "groups = ['exams']"),
            "protect[0].groups: there is no group \"exams\"",
        ),
        (with_edit("groups = ['exam']", "names = ['n7']"), "protect[0].names: there is no instance \"n7\""),
        (with_edit("groups = ['exam']\n", ""), "protect[0].names: names or groups are needed"),
        (
            with_edit("'mon', ", "'monday', "),
            "protect[0].days: mon, tue, ... or sun expected, not \"monday\"",
        ),
        (with_edit("to = '12:30'", "to = '05:00'"), "protect[0].to: later than from expected"),
        (with_edit("to = '12:30'", "to = '12:60'"), "protect[0].to: a time of day"),
        (with_edit("[fleet]", "[flot]"), "flot: no such field"),
        (with_edit("[[instance]]", "[instance]"), "line "),
    ];
    for (text, prefix) in cases {
        let error = Desired::parse(&text).expect_err(prefix);
        assert!(error.starts_with(prefix) && !error.contains('\n'), "{prefix}: {error}");
    }
}
