//! Sockets, files, timers and telemetry round the core of ragwortdeal.
