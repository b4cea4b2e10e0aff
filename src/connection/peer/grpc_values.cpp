#include "grpc_values.h"

namespace cardamomstream {

namespace {

bool is_ipv6(const endpoint& address)
{
    return address.address.find(':') != std::string::npos;
}

} // namespace

std::string host_and_port(const endpoint& address)
{
    if (is_ipv6(address)) {
        return "[" + address.address + "]:" + std::to_string(address.port);
    }
    return address.str();
}

std::string target_of(const endpoint& address)
{
    return (is_ipv6(address) ? "ipv6:" : "ipv4:") + host_and_port(address);
}

gpr_timespec deadline_after(std::chrono::milliseconds limit)
{
    return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC), gpr_time_from_millis(limit.count(), GPR_TIMESPAN));
}

int count_of(std::chrono::milliseconds value)
{
    return static_cast<int>(value.count());
}

} // namespace cardamomstream
