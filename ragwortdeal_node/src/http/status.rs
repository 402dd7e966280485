//! Statuses that can end an exchange.

use gotham::hyper;

/// Whether an answer has a status with which an exchange can end. Interim answers (1xx) are none:
/// after `101 Switching Protocols`, which nobody asked for, the connection has no framing any more.
/// Statuses above 599 name no class, so nobody could tell what they promise.
pub fn is_final_status(status: hyper::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
