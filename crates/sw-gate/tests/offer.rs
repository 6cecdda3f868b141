//! A delta offer resolves to the full text, given the previous text.

mod support;

use proptest::prelude::*;
use sw_fuzz::config;
use sw_unit::Digest;

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_delta_offer_resolves_to_the_full_text(first in 0..8_u8, second in 0..8_u8, comment in "[a-zżł]{0,6}") {
        let mut gate = support::gate(0, 1, sw_once::Options::default());
        let earlier = support::version(1, first, "a");
        let text = format!("{}; {comment}\n", support::version(2, second, "a").text);
        let digest = sw_conf::digest(text.as_bytes());
        let number = sw_unit::Version(2);
        let later = sw_gate::FleetVersion::new(number, digest, text.clone(), &"a".parse().unwrap()).unwrap();
        gate.install(std::sync::Arc::clone(&earlier));
        gate.install(std::sync::Arc::new(later));
        let offer = gate.offer_source().unwrap().offer(Some(earlier.digest));
        prop_assert!(offer.base.is_some() && offer.text.len() < text.len());
        let local = Some((earlier.digest, earlier.text.as_str()));
        prop_assert_eq!(offer.clone().resolve(local), Some(text.clone()));
        prop_assert_eq!(offer.resolve(Some((Digest::default(), earlier.text.as_str()))), None);
        prop_assert_eq!(gate.offer_source().unwrap().offer(None).resolve(None), Some(text));
    }
}
