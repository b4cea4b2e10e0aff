#include "cardamomstream/request/quarantine/request_digest.h"

#include <string_view>

#include <xxhash.h>

namespace cardamomstream {

std::uint64_t request_digest_of(const http_request& request, const customer_name& customer)
{
    const auto content = request.body.empty() ? request.query() : std::string_view(request.body);
    std::uint64_t digest = 0;
    for (const auto text :
         {std::string_view(request.method), request.path(), std::string_view(customer.str()), content}) {
        digest = XXH3_64bits_withSeed(text.data(), text.size(), digest);
    }
    return digest;
}

} // namespace cardamomstream
