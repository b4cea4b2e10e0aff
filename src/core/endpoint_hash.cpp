#include "cardamomstream/core/endpoint_hash.h"

#include <xxhash.h>

namespace cardamomstream {

std::uint64_t shared_hash(const endpoint& address)
{
    return XXH3_64bits_withSeed(address.address.data(), address.address.size(), address.port);
}

} // namespace cardamomstream
