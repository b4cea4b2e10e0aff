/// What VMs ask each other, as plain values.
#pragma once

#include "cardamomstream/connection/http_types.h"
#include "cardamomstream/core/core_types.h"
#include "cardamomstream/core/error.h"
#include "cardamomstream/process/configuration_types.h"
#include "cardamomstream/process/events_types.h"
#include "cardamomstream/process/heartbeat_types.h"
#include "cardamomstream/version/rules_types.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cardamomstream {

/// Why a request is sent to another VM.
enum class forward_purpose {
    serve,  ///< this region cannot meet the target
    ticket, ///< the receiver issued the ticket
};

/// A request that hops. It carries the digest of the caller's key, never the key.
struct forward_request {
    request_id id;
    customer_name customer;
    key_digest key{};
    forward_purpose purpose = forward_purpose::serve;
    pool_name pool;
    route_name route; ///< empty for model calls
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    std::string ticket;
    std::uint32_t hop_count = 1;
    std::vector<region_name> regions_passed;
    std::chrono::milliseconds time_left{0}; ///< until the answer has to begin
    token_count cost = 0;     ///< charged by the sender, or by the receiver where `charge_here` is set
    bool charge_here = false; ///< the sender holds no part of the allowance of this customer
    std::optional<event_ref> cause;
};

struct forward_end {};

/// One piece of the answer: a head, then parts, then the end; or an error in place of what is missing.
using forward_reply = std::variant<http_response_head, std::string, error, forward_end>;

struct exchange_request {
    membership_message membership;
    std::optional<version_id> version;
};

struct exchange_reply {
    std::optional<version_id> version;
};

/// The platform's list of VMs and upstreams, as the platform published it.
struct list_document {
    version_number version = 0;
    std::string text;
};

struct read_configuration_reply {
    std::optional<version_id> version;    ///< held by the receiver
    std::optional<version_update> update; ///< set when the receiver holds a newer version; leads to `version`
    std::optional<std::chrono::milliseconds> confirmed_age;
    std::optional<list_document> list = std::nullopt; ///< for a VM that holds no version
};

} // namespace cardamomstream
