//! Errors in settings and configurations are all reported, each with its position.

use sw_conf::{Fleet, FleetBuilder, Settings, diff};

#[test]
fn all_faults_of_settings_are_reported() {
    let text = "[vm]\nid = Lahore 1\ndomain = lahore\nlisten = here\npeer_listen = 127.0.0.1:1\ncolour = blue\n\
                [platform]\n[limits]\nheader_bytes = 10\nbody_bytes = many\n[log]\nformat = xml\n[extra]\na = 1\n";
    insta::assert_snapshot!(Settings::parse("vm.ini", text).unwrap_err());
}

#[test]
fn syntax_faults_and_duplicates_are_reported() {
    insta::assert_snapshot!(Settings::parse("vm.ini", "[vm]\nid = a\nid = b\n[vm]\n").unwrap_err());
    insta::assert_snapshot!(Settings::parse("vm.ini", "[vm\nid = a\n").unwrap_err());
}

#[test]
fn references_that_lead_nowhere_are_reported() {
    let text = "[region lahore]\n[domain d]\nregion = multan\n[model m]\nbase = none\n\
                [endpoint e]\ndomain = none\naddress = 127.0.0.1:1\nmodels = m, x\n\
                [endpoint f]\ndomain = d\naddress = 127.0.0.1:1\nslots = 0\n\
                [class c]\n[route r]\nclass = none\nmodels = m\nservices = e\nregions = none\ndeadline_ms = 5\n\
                [workspace w]\nkey_sha256 = abc\nquota_per_s = -1\nroutes = none\n";
    insta::assert_snapshot!(Fleet::parse("fleet.ini", text).unwrap_err());
    let text = text
        .replace("slots = 0\n", "")
        .replace("abc", &"0".repeat(64))
        .replace("= -1", "= 1");
    insta::assert_snapshot!(Fleet::parse("fleet.ini", &text).unwrap_err());
}

#[test]
fn a_route_that_no_endpoint_serves_is_refused() {
    let text = "[region a]\n[region b]\n[domain a]\nregion = a\n[domain b]\nregion = b\n[model m]\n\
                [endpoint e]\ndomain = a\naddress = 127.0.0.1:1\nmodels = m\n[class c]\n\
                [route r]\nclass = c\nmodels = m\nregions = b\ndeadline_ms = 5\n";
    insta::assert_snapshot!(Fleet::parse("fleet.ini", text).unwrap_err());
}

#[test]
fn example_files_are_valid_and_diff_by_section() {
    let ravi_noor = include_str!("../../../etc/ravi-noor.ini");
    let fleet = Fleet::parse("ravi-noor.ini", ravi_noor).unwrap();
    assert_eq!((fleet.endpoints.len(), fleet.routes.len()), (15, 4));
    assert!(Fleet::parse("oplatex.ini", include_str!("../../../etc/oplatex.ini")).is_ok());
    assert!(Settings::parse("lahore-1.ini", include_str!("../../../etc/lahore-1.ini")).is_ok());
    let changed = ravi_noor
        .replace("worth = 4", "worth = 6")
        .replace("[class payment-posting]", "[class payments]");
    let differences: Vec<_> = diff(ravi_noor, &changed).iter().map(ToString::to_string).collect();
    let expected = [
        "added [class payments]",
        "changed [route season-summary]",
        "removed [class payment-posting]",
    ];
    assert_eq!(differences, expected);
    assert!(diff(ravi_noor, &format!("; a comment\n{ravi_noor}")).is_empty());
}

#[test]
fn fourteen_thousand_workspaces_parse() {
    let mut builder = FleetBuilder::new();
    for index in 0..14_000 {
        let key = format!("key-{index}");
        let options = sw_conf::WorkspaceOptions {
            key: &key,
            quota_per_s: 5,
            ..sw_conf::WorkspaceOptions::default()
        };
        builder.workspace(&format!("w-{index}"), &options);
    }
    let fleet = Fleet::parse("fleet.ini", &builder.to_string()).unwrap();
    assert_eq!((fleet.workspaces.len(), fleet.keys.len()), (14_000, 14_000));
}
