#include "grpc_library.h"

#include <grpc/grpc.h>
#include <grpc/support/log.h>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

// What matters in it reaches the callers too, as the error of a call or of a listener.
void pass_to_log(gpr_log_func_args* line)
{
    const auto level = line->severity == GPR_LOG_SEVERITY_ERROR ? spdlog::level::info : spdlog::level::debug;
    spdlog::log(level, "gRPC: {}", line->message);
}

} // namespace

void keep_grpc_loaded()
{
    static const bool loaded = [] {
        gpr_set_log_function(&pass_to_log);
        grpc_init();
        return true;
    }();
    static_cast<void>(loaded);
}

} // namespace cardamomstream
