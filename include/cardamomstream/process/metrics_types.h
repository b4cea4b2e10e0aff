/// Values of the labels of the gateway's metrics.
#pragma once

#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"

#include <string>

namespace cardamomstream {

/// How a request ended.
enum class request_end {
    served,    ///< with a whole answer
    refused,   ///< not run
    failed,    ///< after it may have run, or in the middle of the answer
    cancelled, ///< the caller left
};

/// Step of a loan of allowance.
enum class loan_step { asked, granted, refused, ended };

/// Step of an at-most-once ticket.
enum class ticket_step { issued, started, finished, refused, passed_on, handed_over };

/// Service of the platform.
enum class platform_service { configuration, vm_list };

/// Way of bytes between VMs.
enum class peer_direction { sent, received };

/// Label value of a name.
template <class Tag>
std::string label_of(const name<Tag>& value)
{
    return value.str();
}

inline std::string label_of(const std::string& word)
{
    return word;
}

std::string label_of(error_kind kind);
std::string label_of(request_end end);
std::string label_of(loan_step step);
std::string label_of(ticket_step step);
std::string label_of(platform_service service);
std::string label_of(peer_direction direction);

} // namespace cardamomstream
