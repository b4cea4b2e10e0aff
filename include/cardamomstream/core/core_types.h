/// Plain value types that every module shares: names, token quantities and addresses.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cardamomstream {

/// A name of one kind of thing. The tag keeps a region from being passed where a customer is meant.
template <class Tag>
class name {
public:
    name() = default;
    explicit name(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& str() const noexcept { return m_value; }
    bool empty() const noexcept { return m_value.empty(); }

    // clang-tidy 14 takes the "< 0" that the compiler adds to a defaulted comparison for a null pointer.
    friend auto operator<=>(const name&, const name&) = default; // NOLINT(modernize-use-nullptr)

private:
    std::string m_value;
};

using region_name = name<struct region_tag>;
using data_centre_name = name<struct data_centre_tag>;
using vm_name = name<struct vm_tag>;
using customer_name = name<struct customer_tag>;
using key_name = name<struct key_tag>;
using model_name = name<struct model_tag>;
using route_name = name<struct route_tag>;
using pool_name = name<struct pool_tag>;
using upstream_name = name<struct upstream_tag>;
using request_id = name<struct request_tag>;

/// A number of model tokens (prompt plus answer).
using token_count = std::int64_t;

/// Tokens a second.
struct token_rate {
    double per_second = 0;
    friend auto operator<=>(const token_rate&, const token_rate&) = default; // NOLINT(modernize-use-nullptr)
};

/// Number of a published document; it only grows.
using version_number = std::uint64_t;

/// Random number that a process draws at its start; tells a restarted VM from its predecessor.
struct incarnation {
    std::uint64_t value = 0;
    friend auto operator<=>(const incarnation&,
                            const incarnation&) = default; // NOLINT(modernize-use-nullptr)
};

/// An IP number with a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    std::string str() const { return address + ":" + std::to_string(port); }
    friend auto operator<=>(const endpoint&, const endpoint&) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace cardamomstream

template <class Tag>
struct std::hash<cardamomstream::name<Tag>> {
    std::size_t operator()(const cardamomstream::name<Tag>& value) const noexcept
    {
        return std::hash<std::string>{}(value.str());
    }
};

template <>
struct std::hash<cardamomstream::endpoint> {
    std::size_t operator()(const cardamomstream::endpoint& value) const noexcept
    {
        return std::hash<std::string>{}(value.address) * 31U + value.port;
    }
};
