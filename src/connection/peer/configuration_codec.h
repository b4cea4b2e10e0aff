/// Conversion of configuration versions and updates.
#pragma once

#include "cardamomstream/connection/peer_types.h"

#include "peer_messages.h"

#include <optional>

namespace cardamomstream {

wire::VersionId encode(const version_id& value);
result<version_id> decode(const wire::VersionId& from);

wire::ReadConfigurationRequest encode(const std::optional<version_id>& held);
result<std::optional<version_id>> decode(const wire::ReadConfigurationRequest& from);

/// A whole document travels under the number of `version`.
wire::ReadConfigurationReply encode(const read_configuration_reply& value);
result<read_configuration_reply> decode(const wire::ReadConfigurationReply& from);

} // namespace cardamomstream
