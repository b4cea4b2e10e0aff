/// The generated messages of proto/cardamomstream/peer.proto, under a short name.
#pragma once

#include <peer.grpc.pb.h>

namespace cardamomstream {

namespace wire = peer::v1;

/// Largest message that is sent or read: a hand-over of every kept answer and ticket fits.
inline constexpr std::size_t max_message_bytes = std::size_t{32} * 1024 * 1024;

} // namespace cardamomstream
