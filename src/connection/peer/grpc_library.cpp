#include "grpc_library.h"

#include <memory>

#include <grpc/support/log.h>
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <spdlog/spdlog.h>

namespace cardamomstream {

namespace {

// What matters in it reaches the callers too, as the error of a call or of a listener.
void pass_to_log(gpr_log_func_args* line)
{
    const auto level = line->severity == GPR_LOG_SEVERITY_ERROR ? spdlog::level::info : spdlog::level::debug;
    spdlog::log(level, "gRPC: {}", line->message);
}

/// A server that listens nowhere. It holds the threads that run callbacks.
std::unique_ptr<grpc::Server> start_keeper()
{
    static auto* const service = new grpc::CallbackGenericService;
    grpc::ServerBuilder builder;
    builder.RegisterCallbackGenericService(service);
    return builder.BuildAndStart();
}

} // namespace

void keep_grpc_loaded()
{
    static const grpc::Server* const keeper = [] {
        gpr_set_log_function(&pass_to_log);
        return start_keeper().release();
    }();
    static_cast<void>(keeper);
}

} // namespace cardamomstream
