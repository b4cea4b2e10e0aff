#include "call_error.h"

#include "peer_messages.h"

namespace cardamomstream {

namespace {

std::string name_of(const peer_address& to)
{
    return "VM " + to.vm.str() + " at " + to.address.str();
}

} // namespace

error call_error(const peer_address& to, const grpc::Status& status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::PERMISSION_DENIED:
        return {error_kind::permission_denied,
                name_of(to) + " refused the call: " + status.error_message(),
                "give every VM of the fleet the same credential in its settings",
                run_outcome::not_run,
                {}};
    case grpc::StatusCode::INVALID_ARGUMENT:
        return {error_kind::invalid_request,
                name_of(to) + " could not read the call: " + status.error_message(),
                "run the same release on all VMs",
                run_outcome::not_run,
                {}};
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
        return {error_kind::request_too_large,
                "a message from or to " + name_of(to) + " is too large: " + status.error_message(),
                "send smaller requests",
                run_outcome::unknown,
                {}};
    case grpc::StatusCode::DEADLINE_EXCEEDED:
        return peer_failed(to, "no answer in time");
    default:
        return peer_failed(to, status.error_message());
    }
}

error peer_failed(const peer_address& to, const std::string& reason)
{
    return {error_kind::peer_unavailable,
            name_of(to) + " did not answer: " + reason,
            "check whether the VM runs and can be reached",
            run_outcome::unknown,
            {}};
}

error call_cancelled(const peer_address& to)
{
    return {error_kind::cancelled,
            "the call to " + name_of(to) + " was cancelled",
            "none needed if the caller left",
            run_outcome::unknown,
            {}};
}

error message_too_large(const peer_address& to, std::size_t bytes)
{
    return {error_kind::request_too_large,
            "a message of " + std::to_string(bytes) + " bytes for " + name_of(to) + " exceeds the limit of " +
                std::to_string(max_message_bytes),
            "send a smaller request",
            run_outcome::not_run,
            {}};
}

} // namespace cardamomstream
