//! Choice of an upstream among those that may serve a call.
