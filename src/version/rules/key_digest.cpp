#include "cardamomstream/version/key_digest.h"

#include <array>
#include <cstdlib>
#include <iterator>

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace cardamomstream {
namespace {

constexpr std::string_view digest_prefix = "sha256:";
constexpr std::string_view key_prefix = "cs-";
constexpr std::size_t key_bytes = 32;

template <class Bytes>
std::string to_hex(const Bytes& bytes)
{
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

} // namespace

key_digest digest_of(std::string_view key)
{
    key_digest digest{};
    unsigned int size = 0;
    // Fails only without memory; a zero digest in its place could match a published one.
    if (EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1 ||
        size != digest.size()) {
        std::abort();
    }
    return digest;
}

std::string format_digest(const key_digest& digest)
{
    return std::string{digest_prefix} + to_hex(digest);
}

result<key_digest> parse_digest(std::string_view text)
{
    const error refusal{error_kind::invalid_argument,
                        "the digest is not \"sha256:\" and 64 hexadecimal digits",
                        "make it with `cardamomstream keys hash`",
                        {},
                        {}};
    key_digest digest{};
    if (!text.starts_with(digest_prefix) || text.size() != digest_prefix.size() + 2 * digest.size()) {
        return refusal;
    }
    text.remove_prefix(digest_prefix.size());
    try {
        boost::algorithm::unhex(text.begin(), text.end(), digest.begin());
    }
    catch (const boost::algorithm::hex_decode_error&) {
        return refusal;
    }
    return digest;
}

bool equal_constant_time(const key_digest& left, const key_digest& right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

result<std::string> new_key()
{
    std::array<unsigned char, key_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return error{error_kind::internal, "the system gave no random bytes for a key", "try again", {}, {}};
    }
    return std::string{key_prefix} + to_hex(bytes);
}

} // namespace cardamomstream
