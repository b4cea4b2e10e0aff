/// Encodes reports between VMs as datagrams: one protobuf message of proto/cardamomstream/vm_report.proto
/// each.
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/process/deployment/deployment_types.h"

#include <string>
#include <string_view>

namespace cardamomstream {

std::string encode_report(const vm_report& report);

/// Errors: invalid_argument when the text is not a valid report.
result<vm_report> decode_report(std::string_view text);

} // namespace cardamomstream
