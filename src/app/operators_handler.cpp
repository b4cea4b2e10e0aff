#include "operators_handler.h"

#include "cardamomstream/process/event_codec.h"

#include <charconv>

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace cardamomstream {

namespace {

constexpr std::size_t max_page_events = 1'000;
constexpr unsigned unavailable = 503;
constexpr unsigned not_found = 404;

http_response text_answer(unsigned status, std::string body)
{
    return {{status, {{"Content-Type", "text/plain; version=0.0.4"}}}, std::move(body)};
}

std::uint64_t number_parameter(const http_request& request, std::string_view name)
{
    std::uint64_t value = 0;
    const auto parsed = boost::urls::parse_origin_form(request.target);
    if (!parsed) {
        return value;
    }
    for (const auto& parameter : parsed->params()) {
        if (parameter.key == name) {
            std::from_chars(parameter.value.data(), parameter.value.data() + parameter.value.size(), value);
        }
    }
    return value;
}

http_response readiness(serving_parts& parts)
{
    if (parts.stopping) {
        return text_answer(unavailable, "stopping\n");
    }
    if (!parts.views.load()->confirmed) {
        return text_answer(unavailable, "waiting for rules and the list of VMs\n");
    }
    const auto now = boot_clock::now();
    const bool holds_parts = parts.allowance.with_lock([now](allowance_book& book) {
        return !book.restarting() && book.knows_versions(now) && book.applied_version(now) > 0;
    });
    if (!holds_parts) {
        return text_answer(unavailable, "waiting for the other VMs to tell their loans and versions\n");
    }
    return text_answer(200, "ready\n");
}

http_response events(const http_request& request, event_log& log)
{
    const auto page = log.since(number_parameter(request, "since"), max_page_events);
    return {{200, {{"Content-Type", "application/json"}}}, write_event_page(page)};
}

} // namespace

request_handler operators_handler(serving_parts& parts, event_log& log)
{
    return [&parts, &log](const http_request& request, std::size_t /*thread*/, response_writer& writer) {
        const auto path = request.path();
        if (path == "/healthz") {
            (void)writer.send(text_answer(200, "ok\n"));
        }
        else if (path == "/readyz") {
            (void)writer.send(readiness(parts));
        }
        else if (path == "/metrics") {
            (void)writer.send(text_answer(200, parts.counters.render()));
        }
        else if (path == "/events") {
            (void)writer.send(events(request, log));
        }
        else {
            (void)writer.send(text_answer(not_found, "use /healthz, /readyz, /metrics or /events\n"));
        }
    };
}

} // namespace cardamomstream
