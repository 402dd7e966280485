//! What heads of answers tell about paths.

use googletest::prelude::*;
use ragwortdeal_core::dispatch::head_time::{self, Path};

macro_rules! path_of_head {
    ($($(#[$guards:meta])* $name:ident: $took_ms:expr, $forecast_ms:expr => $path:ident;)*) => {
        $(
            $(#[$guards])*
            #[googletest::test]
            fn $name() {
                expect_that!(head_time::judge($took_ms, $forecast_ms), eq(Path::$path));
            }
        )*
    };
}

path_of_head! {
    a_prompt_head_shows_a_responsive_path: 120, Some(100.0) => Responsive;
    /// Guards against engines that are avoided for seconds because requests queue there, and against
    /// superseded weights that are given up early for it.
    a_queue_is_not_taken_for_a_slow_path: 1_500, Some(1_400.0) => Unclear;
    a_head_much_later_than_forecast_shows_a_slow_path: 1_500, Some(300.0) => Slow;
    a_plain_service_has_no_forecast: 900, None => Slow;
    /// Guards against a forecast that makes a path look free.
    a_long_forecast_shows_no_responsive_path: 700, Some(1_400.0) => Unclear;
}
