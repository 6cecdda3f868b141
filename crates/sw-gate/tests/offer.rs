//! What is left out of an offer is restored from the text before.

mod support;

use proptest::prelude::*;
use sw_fuzz::config;
use sw_unit::Digest;

proptest! {
    #![proptest_config(config())]

    #[test]
    fn an_offer_gives_the_whole_text(first in 0..8_u8, second in 0..8_u8, comment in "[a-zżł]{0,6}") {
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
        let own = Some((earlier.digest, earlier.text.as_str()));
        prop_assert_eq!(offer.clone().resolve(own), Some(text.clone()));
        prop_assert_eq!(offer.resolve(Some((Digest::default(), earlier.text.as_str()))), None);
        prop_assert_eq!(gate.offer_source().unwrap().offer(None).resolve(None), Some(text));
    }
}
