//! Bodies that arrive in parts of any size.

use proptest::prelude::*;
use sw_http::BodyBuffer;

proptest! {
    /// Guards against bytes that are lost or repeated where a body gets pages, or more of them.
    #[test]
    fn a_body_is_what_was_pushed(
        capacity in prop_oneof![Just(0), 1_usize..300_000],
        parts in prop::collection::vec(prop_oneof![0_usize..10, 60_000_usize..70_000], 0..8),
    ) {
        let mut buf = BodyBuffer::with_capacity(capacity).unwrap();
        let mut expected = Vec::new();
        for (byte, len) in (0_u8..).zip(parts) {
            let part = vec![byte; len];
            buf.push(&part).unwrap();
            expected.extend(part);
            prop_assert_eq!(buf.len(), expected.len());
        }
        prop_assert_eq!(buf.into_bytes(), expected);
    }
}
