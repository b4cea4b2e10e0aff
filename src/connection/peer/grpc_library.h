/// Life of the gRPC library in this process.
#pragma once

namespace cardamomstream {

/// Call before the first use of gRPC. Keeps it and its threads until the process ends: gRPC 1.51 can abort
/// the process when the last channel or server ends its callback threads, and can block for ten seconds when
/// it shuts down. Its log lines join the log of the process, errors at level info and all else at level
/// debug.
void keep_grpc_loaded();

} // namespace cardamomstream
