/// Life of the gRPC library in this process.
#pragma once

namespace cardamomstream {

/// Call before the first use of gRPC. Keeps it loaded until the process ends: otherwise the end of the last
/// channel or server would shut it down, which can block its thread for ten seconds. Its log lines join the
/// log of the process, errors at level info and all else at level debug.
void keep_grpc_loaded();

} // namespace cardamomstream
