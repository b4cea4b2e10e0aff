#include "cardamomstream/process/metrics_types.h"

namespace cardamomstream {

std::string label_of(error_kind kind)
{
    return std::string{code_of(kind)};
}

std::string label_of(request_end end)
{
    switch (end) {
    case request_end::served:
        return "served";
    case request_end::refused:
        return "refused";
    case request_end::failed:
        return "failed";
    case request_end::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string label_of(loan_step step)
{
    switch (step) {
    case loan_step::asked:
        return "asked";
    case loan_step::granted:
        return "granted";
    case loan_step::refused:
        return "refused";
    case loan_step::ended:
        return "ended";
    }
    return "unknown";
}

std::string label_of(ticket_step step)
{
    switch (step) {
    case ticket_step::issued:
        return "issued";
    case ticket_step::started:
        return "started";
    case ticket_step::finished:
        return "finished";
    case ticket_step::refused:
        return "refused";
    case ticket_step::passed_on:
        return "passed_on";
    case ticket_step::handed_over:
        return "handed_over";
    }
    return "unknown";
}

std::string label_of(platform_service service)
{
    switch (service) {
    case platform_service::configuration:
        return "configuration";
    case platform_service::vm_list:
        return "vm_list";
    }
    return "unknown";
}

std::string label_of(peer_direction direction)
{
    switch (direction) {
    case peer_direction::sent:
        return "sent";
    case peer_direction::received:
        return "received";
    }
    return "unknown";
}

} // namespace cardamomstream
